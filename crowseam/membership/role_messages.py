"""The messages by which controllers agree on the holder of a role.

All are encoded as arrays, so the order of the fields is part of the protocol; new fields go last, with a default.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import msgspec

NO_LIST = -1  # sent by an earlier version, which announces no borrowers
LIST_NOT_STARTED = 0
# A request token consists of the incarnation of the sender's process and the number of the request.
_INCARNATION_BITS = 30
_REQUEST_NUMBER_BITS = 32


def new_incarnation(rng: Random) -> int:
    """Return random high bits for the request tokens of a new process."""
    return rng.getrandbits(_INCARNATION_BITS) << _REQUEST_NUMBER_BITS


def is_of_same_incarnation(one: int, other: int) -> bool:
    """Return whether the requests with these tokens were sent by the same process."""
    return one >> _REQUEST_NUMBER_BITS == other >> _REQUEST_NUMBER_BITS


class RoleLeaseRequest(msgspec.Struct, array_like=True, tag="duties.seek"):
    """Asks a voter for the role `key` for `term_s` seconds.

    With a fencing token of 0 it asks for the highest one seen. `log_slot` is the newest log slot that the sender
    knows; -1: not sent, by an earlier version.

    `list_changes` are the borrowers added ("+name") or removed ("-name"), in order, starting at `list_offset` of the
    list `list_number` under this fencing token; offset 0 starts from an empty list. `is_list_partial`: other gateways
    may hold leases granted under earlier fencing tokens.
    """

    key: str
    token: int
    fencing_token: int
    term_s: float
    log_slot: int = -1
    list_number: int = NO_LIST
    list_offset: int = 0
    list_changes: list[str] = []
    is_list_partial: bool = False


class RoleLeaseGrant(msgspec.Struct, array_like=True, tag="duties.granted"):
    """The voter has granted the role to the sender of the request.

    `list_length` is how many changes of its list the voter has; -1: an earlier version, which keeps no list.
    `earlier_borrowers`, sent before a list is started, are those of earlier holders; None if some may be missing.
    """

    key: str
    token: int
    highest_fencing_token: int
    list_length: int = -1
    earlier_borrowers: list[str] | None = None


class RoleLeaseRejection(msgspec.Struct, array_like=True, tag="duties.refused"):
    """Another controller holds the role for `remaining_s` more; holder "": the voter may no longer know which one."""

    key: str
    token: int
    highest_fencing_token: int
    holder: str
    remaining_s: float


class RoleLeaseRelease(msgspec.Struct, array_like=True, tag="duties.release"):
    """The sender releases everything it was granted for requests up to `token`."""

    key: str
    token: int


class RoleLeaseAnnouncement(msgspec.Struct, array_like=True, tag="duties.holding"):
    """Tells controllers that do not vote that the sender holds the role."""

    key: str
    fencing_token: int
    remaining_s: float


Message = RoleLeaseRequest | RoleLeaseGrant | RoleLeaseRejection | RoleLeaseRelease | RoleLeaseAnnouncement


class Outgoing(NamedTuple):
    """A message to send, and its destination address."""

    addr: str
    message: Message
