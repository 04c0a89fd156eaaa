"""Messages between gateways and grantors.

Both are encoded as arrays, so the order of the fields is part of the protocol.
"""

from __future__ import annotations

import msgspec

SHARE_UNITS = 1_000_000  # in a whole quota; shares are integers so that sums are exact
NO_FENCING_TOKEN = 0  # sent by a gateway that has never held a lease


class LeaseReport(msgspec.Struct, array_like=True, tag="lending.held"):
    """A gateway's report of the lease that it holds.

    `incarnation` increases with each start of the gateway's process. `sent_at` is the gateway's clock when it sent
    the report, and `remaining_s` the remaining time of its lease. Shares are in `SHARE_UNITS`, by tenant.
    """

    incarnation: int
    sent_at: float
    fencing_token: int
    epoch: int
    remaining_s: float
    shares: dict[str, int]


class QuotaLease(msgspec.Struct, array_like=True, tag="lending.lease"):
    """The grantor's answer: a lease for `term_s` from `sent_at`, which is copied from the gateway's report.

    Epoch 0 is the first answer of a new grantor: the gateway keeps its current lease, and rejects lower fencing
    tokens from then on.
    """

    incarnation: int
    sent_at: float
    fencing_token: int
    epoch: int
    term_s: float
    shares: dict[str, int]
