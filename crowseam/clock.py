"""The clocks that daemons read. The simulator replaces them by virtual ones; nothing else changes them."""

import time as _time

monotonic = _time.monotonic  # seconds of the steady clock
time = _time.time  # seconds of the time of day
time_ns = _time.time_ns  # the same in whole nanoseconds
