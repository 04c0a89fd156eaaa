"""An acknowledgement that a server is leaving goes out only when a majority of the voters knows of it.

Whichever machine then reads the register through a majority finds the server draining, gone or retired,
although any minority of those that knew may be lost in the same moment.  What a server says of itself it
says again with each beat; what the operator says is said once, so a voter has it on its disk before it
confirms it, and our own copy counts no sooner.

A confirmation counts for the calls that wait when it comes, and for no later one: by then its voter may be
cut off from us, or have lost what it held.
"""

from collections.abc import Hashable, Iterable

import msgspec

from folio.accession.register import PHASES, Phase, Record, Register

WAIT = 0.7  # seconds until a call is told to come back; a server gives up after one second
AGAIN = 0.2  # seconds after which an unanswered message is sent once more


class QuorumError(Exception):
    """No majority of the voters can be reached, so nothing may be acknowledged."""


class Hold(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """Asks a voter to merge a record and to say so."""

    record: Record


class Held(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """A voter's answer to Hold: what it now has of this server, the operator's epoch included."""

    id: str
    phase: Phase
    retired: int = 0


def answer(hold: Hold, register: Register, now: float) -> Held:
    """Carry out a voter's part: merge the record into ``register`` and name what is held."""
    register.join(hold.record, now)
    record = register.get(hold.record.id, now)
    # A tombstone too old to be taken in is as good as held: nobody remembers the server as alive.
    held = hold.record if record is None else record
    return Held(held.id, held.phase, held.retired)


def majority(count: int) -> int:
    """How many of ``count`` voters are more than half."""
    return count // 2 + 1


class _Ticket:
    __slots__ = ("ticket", "record", "voters", "begun", "sent", "holders")

    def __init__(self, ticket: Hashable, record: Record, voters: frozenset[str], now: float):
        self.ticket = ticket
        self.record = record
        self.voters = voters
        self.begun = now
        self.sent = now
        self.holders: set[str] = set()  # those of the voters that have it

    @property
    def held(self) -> bool:
        return len(self.holders) >= majority(len(self.voters))

    def messages(self) -> list[tuple[str, Hold]]:
        """What asks those that have not confirmed it."""
        hold = Hold(self.record)
        return [(voter, hold) for voter in sorted(self.voters - self.holders)]


class Pending:
    """Acknowledgements that wait for a majority of the voters. ``me`` is our own address."""

    def __init__(self, me: str):
        self.me = me
        self._waiting: dict[Hashable, _Ticket] = {}
        self._tickets: dict[str, set[Hashable]] = {}  # those that wait, by id

    def __len__(self) -> int:
        return len(self._waiting)

    def begin(
        self,
        ticket: Hashable,
        record: Record,
        voters: Iterable[str],
        now: float,
        reachable: Iterable[str] | None = None,
    ) -> tuple[list[tuple[str, Hold]], bool]:
        """Start waiting for a majority to hold ``record``, which our own register holds already.

        Returns the messages to send as (address, Hold), and whether that is done already (we are the only
        voter), in which case ``ticket`` is not kept.  A record with an epoch of the operator's goes to
        ourselves too, as it has to be on our disk.  Raises QuorumError when no voters are known, or when
        those ``reachable`` (None: not known) and ourselves are no majority.
        """
        everyone = frozenset(voters)
        if not everyone:
            raise QuorumError("no voters are known")
        if reachable is not None:
            near = len(everyone.intersection((*reachable, self.me)))
            if near < majority(len(everyone)):
                raise QuorumError(f"in touch with {near} of {len(everyone)} voters")
        entry = _Ticket(ticket, record, everyone, now)
        if not record.retired and self.me in everyone:
            entry.holders.add(self.me)
        if entry.held:
            return [], True
        self._waiting[ticket] = entry
        self._tickets.setdefault(record.id, set()).add(ticket)
        return entry.messages(), False

    def confirmed(self, voter: str, ident: str, phase: str, retired: int = 0) -> list[Hashable]:
        """A voter says what it holds of a server. Returns the tickets that may now be acknowledged."""
        done = []
        for entry in [self._waiting[ticket] for ticket in self._tickets.get(ident, ())]:
            record = entry.record
            if voter in entry.voters and PHASES[phase] >= PHASES[record.phase] and retired >= record.retired:
                entry.holders.add(voter)
                if entry.held:
                    done.append(entry.ticket)
        for ticket in done:
            self.drop(ticket)
        return done

    def again(self, now: float) -> list[tuple[str, Hold]]:
        """Messages to send once more, as links may have lost them."""
        messages = []
        for entry in self._waiting.values():
            if now - entry.sent >= AGAIN:
                entry.sent = now
                messages += entry.messages()
        return messages

    def expired(self, now: float) -> list[Hashable]:
        """Tickets that have waited too long: their calls are answered 503."""
        late = [ticket for ticket, entry in self._waiting.items() if now - entry.begun >= WAIT]
        for ticket in late:
            self.drop(ticket)
        return late

    def drop(self, ticket: Hashable) -> None:
        """The caller of this ticket has gone away."""
        if (entry := self._waiting.pop(ticket, None)) is not None:
            tickets = self._tickets[entry.record.id]
            tickets.discard(ticket)
            if not tickets:
                del self._tickets[entry.record.id]
