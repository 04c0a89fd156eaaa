"""Acknowledges that a server is leaving only when a majority of the voters has stored it.

Any controller that later reads the registry through a majority then finds the server draining, gone or retired, even
if a minority of those voters is lost at the same moment, or all of them lose power: a voter has the record on its
disk before it confirms it. The same applies to our own copy.

A confirmation belongs to a voter's id, which is tied to its disk: another process at the same address with a
different disk has confirmed nothing. Requests carry the newest log slot that the sender knows; a voter that knows of
a later change of the voters does not confirm, because the majority may be a different one by now.

A confirmation counts only for calls that were waiting when its request was sent, and not for later calls: by then the
voter may be unreachable or may have lost its data. Calls are numbered for this purpose, and answers carry the number.
A slow disk does not block later calls: once the record is stored, the next request is answered at once.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from crowseam.discovery.errors import NoMajorityError
from crowseam.discovery.server_record import PHASE_ORDER, Phase, ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.quorum import majority

TIMEOUT_S = 0.7  # after which a call fails as unavailable; servers give up after one second
RETRANSMIT_INTERVAL_S = 0.2
UNKNOWN_SLOT = -1  # sent by an earlier version
UNNUMBERED = 0  # sent by an earlier version


class ReplicationRequest(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """Asks a voter to merge a record and to confirm that.

    `log_slot` is the newest log slot that the sender knows, `call_number` that of the newest call that was waiting
    when this was sent.
    """

    record: ServerRecord
    log_slot: int = UNKNOWN_SLOT
    call_number: int = UNNUMBERED


class ReplicationAck(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """A voter's answer: its current state of this server, including the operator's epoch.

    `voter_id` is the id of the voter; "": not sent, by an earlier version. `call_number` is copied from the request.
    """

    id: str
    phase: Phase
    retired: int = 0
    voter_id: str = ""
    call_number: int = UNNUMBERED


class OutgoingRequest(NamedTuple):
    """A request, and its destination address."""

    addr: str
    request: ReplicationRequest


def acknowledge(
    request: ReplicationRequest,
    registry: ServiceRegistry,
    now: float,
    voter_id: str = "",
    voters_slot: int = UNKNOWN_SLOT,
) -> ReplicationAck | None:
    """Handle a request as a voter: merge the record into `registry` and return the resulting state.

    `voters_slot` is a slot after which the voters have not changed. Returns None if the sender may not know the
    current voters: the record is merged, but must not be confirmed.
    """
    registry.merge(request.record, now)
    if 0 <= request.log_slot < voters_slot:
        return None
    # A tombstone too old to be merged counts as merged: no copy still lists the server as alive.
    record = registry.get(request.record.id, now) or request.record
    return ReplicationAck(record.id, record.phase, record.retired, voter_id, request.call_number)


class _WaitingCall:
    """A call that waits until a majority has `record`. `voters` are ids by address; times are monotonic seconds."""

    __slots__ = ("call", "confirmed_by", "number", "record", "requested_at", "started_at", "voters")

    def __init__(self, call: Hashable, number: int, record: ServerRecord, voters: dict[str, str], now: float) -> None:
        self.call = call
        self.number = number
        self.record = record
        self.voters = voters
        self.started_at = now
        self.requested_at = now
        self.confirmed_by: dict[str, str] = {}  # ids by address

    def confirmed_voters(self) -> set[str]:
        """Return the addresses of the voters that have confirmed under their current id."""
        return {
            addr
            for addr, voter_id in self.confirmed_by.items()
            if addr in self.voters and self.is_same_voter(self.voters[addr], voter_id)
        }

    @staticmethod
    def is_same_voter(known_id: str, voter_id: str) -> bool:
        """Return whether a confirmation by `voter_id` counts for the voter `known_id`; "": unknown, matches any."""
        return not known_id or not voter_id or known_id == voter_id

    @property
    def is_replicated(self) -> bool:
        """Whether a majority has the record."""
        return len(self.confirmed_voters()) >= majority(len(self.voters))

    def is_answered_by(self, call_number: int) -> bool:
        """Return whether the request with this number was sent while the call was waiting."""
        return call_number == UNNUMBERED or call_number >= self.number

    def requests(self, log_slot: int, call_number: int) -> list[OutgoingRequest]:
        """Return the requests to the voters that have not confirmed."""
        request = ReplicationRequest(self.record, log_slot, call_number)
        return [OutgoingRequest(addr, request) for addr in sorted(self.voters.keys() - self.confirmed_voters())]


class PendingAcknowledgements:
    """Calls that wait for a majority of the voters.

    `me` is our own address. Voters are given by address, with their ids where these are known. Calls are numbered
    from `first_number` + 1; it must exceed all numbers used by earlier incarnations, as late answers to their
    requests may arrive.
    """

    def __init__(self, me: str, first_number: int = 0) -> None:
        self.me = me
        self._last_number = first_number
        self._waiting: dict[Hashable, _WaitingCall] = {}
        self._calls_by_id: dict[str, set[Hashable]] = {}  # server id -> calls
        self._log_slot = UNKNOWN_SLOT

    def __len__(self) -> int:
        return len(self._waiting)

    def start(
        self,
        call: Hashable,
        record: ServerRecord,
        voters: Iterable[str] | Mapping[str, str],
        now: float,
        reachable: Iterable[str] | None = None,
    ) -> list[OutgoingRequest]:
        """Wait for a majority to store `record`, which is already in our own registry.

        The returned requests include one to ourselves, because the record must be on our disk too.

        Raises
        ------
        NoMajorityError
            If no voters are known, or those in `reachable` (None: unknown) and ourselves are not a majority.
        """
        voter_ids = _ids_by_address(voters)
        if not voter_ids:
            raise NoMajorityError("no voters are known")
        if reachable is not None:
            reachable_count = len(voter_ids.keys() & {*reachable, self.me})
            if reachable_count < majority(len(voter_ids)):
                raise NoMajorityError(f"in touch with {reachable_count} of {len(voter_ids)} voters")
        self._last_number += 1
        waiting = self._waiting[call] = _WaitingCall(call, self._last_number, record, voter_ids, now)
        self._calls_by_id.setdefault(record.id, set()).add(call)
        return waiting.requests(self._log_slot, self._last_number)

    def set_voters(self, voters: Iterable[str] | Mapping[str, str], log_slot: int) -> None:
        """Set the voters as known here and the newest log slot, for all current and future calls.

        Where the voters can change, this is to be called before each message is handled.
        """
        self._log_slot = log_slot
        voter_ids = _ids_by_address(voters)
        for waiting in self._waiting.values():
            waiting.voters = voter_ids

    def confirm(self, addr: str, ack: ReplicationAck) -> list[Hashable]:
        """Handle a voter's answer. Returns the calls that can now be acknowledged."""
        confirmed_calls = []
        for waiting in [self._waiting[call] for call in self._calls_by_id.get(ack.id, ())]:
            record = waiting.record
            covers_record = PHASE_ORDER[ack.phase] >= PHASE_ORDER[record.phase] and ack.retired >= record.retired
            if covers_record and waiting.is_answered_by(ack.call_number):
                waiting.confirmed_by[addr] = ack.voter_id
                if waiting.is_replicated:
                    confirmed_calls.append(waiting.call)
        for call in confirmed_calls:
            self.cancel(call)
        return confirmed_calls

    def retransmit(self, now: float) -> list[OutgoingRequest]:
        """Return the requests to send again, in case they were lost."""
        requests = []
        for waiting in self._waiting.values():
            if now - waiting.requested_at >= RETRANSMIT_INTERVAL_S:
                waiting.requested_at = now
                requests += waiting.requests(self._log_slot, self._last_number)
        return requests

    def expire(self, now: float) -> list[Hashable]:
        """Remove and return the calls that have timed out; they are answered with status 503."""
        expired_calls = [call for call, waiting in self._waiting.items() if now - waiting.started_at >= TIMEOUT_S]
        for call in expired_calls:
            self.cancel(call)
        return expired_calls

    def cancel(self, call: Hashable) -> None:
        """Forget a call."""
        waiting = self._waiting.pop(call, None)
        if waiting is None:
            return
        calls = self._calls_by_id[waiting.record.id]
        calls.discard(call)
        if not calls:
            del self._calls_by_id[waiting.record.id]


def _ids_by_address(voters: Iterable[str] | Mapping[str, str]) -> dict[str, str]:
    return dict(voters) if isinstance(voters, Mapping) else dict.fromkeys(voters, "")
