"""What gateways may admit in addition to their shares, within the allowed excess over the quota."""

from __future__ import annotations

from typing import NamedTuple

EXTRA_FRACTION = 0.6  # of the allowed excess, divided evenly: what buckets may hold beyond shares
MAX_EXTRA_REQUESTS = 4.0  # per bucket
FLOOR_FRACTION = 0.25  # of the allowed excess, divided evenly: what fills buckets without a lease in a window
CHANCE_DEVIATIONS = 3.0  # standard deviations set aside for the randomness of buckets too small for a request


class UnleasedAllowance(NamedTuple):
    """For one gateway: requests per second without a lease, and requests that its bucket may hold beyond its share."""

    floor_rate: float
    extra_requests: float


def floor_requests(rate: float, burst: float, window_s: float, excess: float, slack: float, gateways: int) -> float:
    """Return the requests by which a gateway without a lease fills its bucket of a tenant in any window.

    This is a quarter of the allowed excess over the quota, divided evenly over `gateways`, because all of their
    buckets may hold most of the rest when the window begins. `rate` is in requests per second; 0 means unlimited
    (infinity is returned).
    """
    if rate <= 0:
        return float("inf")
    return FLOOR_FRACTION * (slack + excess * (rate * window_s + burst)) / max(1, gateways)


def unleased_allowance(
    rate: float, burst: float, window_s: float, excess: float, slack: float, gateways: int
) -> UnleasedAllowance:
    """Return what one of `gateways` gateways may admit of a tenant in addition to its share.

    `excess` (a fraction of the quota) and `slack` (requests) define the allowed excess: what all gateways together
    may admit above the quota in any window.
    """
    spare = excess * (rate * window_s + burst) + slack
    floor_rate = floor_requests(rate, burst, window_s, excess, slack, gateways) / window_s
    deviation_allowance = CHANCE_DEVIATIONS * 0.5 * max(1, gateways) ** 0.5
    extra = min(EXTRA_FRACTION * spare, max(0.0, spare - deviation_allowance))
    return UnleasedAllowance(floor_rate, min(MAX_EXTRA_REQUESTS, extra / max(1, gateways)))
