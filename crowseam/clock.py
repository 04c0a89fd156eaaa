"""The clocks of the daemons, which read them through this module because the simulator replaces them."""

import time as _time

monotonic = _time.monotonic  # seconds of the monotonic clock
time = _time.time  # seconds since the epoch
time_ns = _time.time_ns  # nanoseconds since the epoch
