"""An acknowledgement that a server is leaving goes out only when a majority of the voters knows of it.

Whichever machine then reads the registry through a majority finds the server draining, gone or retired,
although any minority of those that knew may be lost in the same moment, or all of them lose power: a voter
has it on its disk before it confirms it, and our own copy counts no sooner.

A confirmation is that of a voter's id, which goes with its disk: what stands at the same address with
another disk has confirmed nothing.  Whoever asks names the newest slot of the log that it knows, and a voter
that knows of a later change of the voters does not confirm, as the majority may be another one by now.

A confirmation counts for the calls that waited when its question was put, and for no later one: by then its
voter may be cut off from us, or have lost what it held.  Questions are numbered for that, and answers name the
number.  A disk that is slow holds nothing up by it: once the record is written, the next question is answered
at once.
"""

from collections.abc import Hashable, Iterable, Mapping

import msgspec

from crowseam.discovery.service_registry import PHASES, Phase, Record, ServiceRegistry

WAIT = 0.7  # seconds until a call is told to come back; a server gives up after one second
AGAIN = 0.2  # seconds after which an unanswered message is sent once more


class QuorumError(Exception):
    """No majority of the voters can be reached, so nothing may be acknowledged."""


class Hold(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """Asks a voter to merge a record and to say so.

    `slot` is the newest slot of the log that the asker knows; -1: not told, by a version before.  `asked` is
    the number of the newest call that waited there when this was sent; 0: not told, likewise.
    """

    record: Record
    slot: int = -1
    asked: int = 0


class Held(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """A voter's answer to Hold: what it now has of this server, the operator's epoch included.

    `by` is the voter's id; "": not told, by a version before.  `asked` is that of the question; 0: not told,
    likewise.
    """

    id: str
    phase: Phase
    retired: int = 0
    by: str = ""
    asked: int = 0


def leaving(record: Record) -> bool:
    """Whether this says of a server what nobody may unlearn: it drains, is gone, or an operator spoke."""
    return record.phase != "up" or record.retired > 0


def answer(hold: Hold, registry: ServiceRegistry, now: float, by: str = "", since: int = -1) -> Held | None:
    """Carry out a voter's part: merge the record into ``registry`` and name what is held.

    `by` is our id, `since` a slot after which the voters have not changed.  None: the record is merged, but
    the asker may not know the voters, so it is not to be confirmed.
    """
    registry.join(hold.record, now)
    if 0 <= hold.slot < since:
        return None
    record = registry.get(hold.record.id, now)
    # A tombstone too old to be taken in is as good as held: nobody remembers the server as alive.
    held = hold.record if record is None else record
    return Held(held.id, held.phase, held.retired, by, hold.asked)


def majority(count: int) -> int:
    """How many of ``count`` voters are more than half."""
    return count // 2 + 1


class _Ticket:
    __slots__ = ("ticket", "number", "record", "voters", "begun", "sent", "holders")

    def __init__(self, ticket: Hashable, number: int, record: Record, voters: dict[str, str], now: float):
        self.ticket = ticket
        self.number = number
        self.record = record
        self.voters = voters
        self.begun = now
        self.sent = now
        self.holders: dict[str, str] = {}  # those that have it, with the ids that they told

    def counted(self) -> set[str]:
        """The voters that have it."""
        return {addr for addr, by in self.holders.items() if addr in self.voters and self.same(self.voters[addr], by)}

    @staticmethod
    def same(ident: str, by: str) -> bool:
        """Whether what `by` has confirmed counts for the voter `ident`."""
        return not ident or not by or ident == by

    @property
    def held(self) -> bool:
        return len(self.counted()) >= majority(len(self.voters))

    def answered(self, asked: int) -> bool:
        """Whether the question `asked` was put while this waited."""
        return not asked or asked >= self.number

    def messages(self, slot: int, asked: int) -> list[tuple[str, Hold]]:
        """What asks those that have not confirmed it."""
        hold = Hold(self.record, slot, asked)
        return [(voter, hold) for voter in sorted(self.voters.keys() - self.counted())]


class Pending:
    """Acknowledgements that wait for a majority of the voters.

    ``me`` is our own address.  Voters are given by address, with their ids where these are known ("": any id
    will do).  Calls are numbered from above ``first``, which is to be above all numbers of earlier lives, as
    answers to their questions may come to us.
    """

    def __init__(self, me: str, first: int = 0):
        self.me = me
        self._newest = first  # the number of the newest call
        self._waiting: dict[Hashable, _Ticket] = {}
        self._tickets: dict[str, set[Hashable]] = {}  # those that wait, by id
        self._slot = -1

    def __len__(self) -> int:
        return len(self._waiting)

    def begin(
        self,
        ticket: Hashable,
        record: Record,
        voters: Iterable[str] | Mapping[str, str],
        now: float,
        reachable: Iterable[str] | None = None,
    ) -> list[tuple[str, Hold]]:
        """Start waiting for a majority to hold ``record``, which our own registry holds already.

        Returns the messages to send as (address, Hold).  They go to ourselves too, as it has to be on our
        disk.  Raises QuorumError when no voters are known, or when those ``reachable`` (None: not known) and
        ourselves are no majority.
        """
        everyone = _ids(voters)
        if not everyone:
            raise QuorumError("no voters are known")
        if reachable is not None:
            near = len(everyone.keys() & {*reachable, self.me})
            if near < majority(len(everyone)):
                raise QuorumError(f"in touch with {near} of {len(everyone)} voters")
        self._newest += 1
        entry = self._waiting[ticket] = _Ticket(ticket, self._newest, record, everyone, now)
        self._tickets.setdefault(record.id, set()).add(ticket)
        return entry.messages(self._slot, self._newest)

    def seat(self, voters: Iterable[str] | Mapping[str, str], slot: int) -> None:
        """The voters as they are known here with the newest slot known, for all that waits and is to come.

        To be told before each message is handed in, where the voters can change.
        """
        self._slot, everyone = slot, _ids(voters)
        for entry in self._waiting.values():
            entry.voters = everyone

    def confirmed(
        self, voter: str, ident: str, phase: str, retired: int = 0, by: str = "", asked: int = 0
    ) -> list[Hashable]:
        """A voter says what it holds of a server. Returns the tickets that may now be acknowledged.

        `by` is the id that it votes under, `asked` the number of the question; "" and 0: not told, by a version
        before.
        """
        done = []
        for entry in [self._waiting[ticket] for ticket in self._tickets.get(ident, ())]:
            record = entry.record
            if entry.answered(asked) and PHASES[phase] >= PHASES[record.phase] and retired >= record.retired:
                entry.holders[voter] = by
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
                messages += entry.messages(self._slot, self._newest)
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


def _ids(voters: Iterable[str] | Mapping[str, str]) -> dict[str, str]:
    return dict(voters) if isinstance(voters, Mapping) else dict.fromkeys(voters, "")
