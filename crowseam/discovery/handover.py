"""What a newcomer among the voters has to learn before it counts.

What was acknowledged is known to a majority of the voters, of whom one may be the voter whose place the
newcomer takes.  So it asks the voters for all that they have confirmed to others: servers that leave,
operators' retirements and the fences of duties.  Once a majority of them has answered it has it all, and only
then does it ask to be let in.

What is acknowledged between that and the change of voters it may have missed again.  So it asks once more
when it is in, and grants no duty until a majority of the voters before has answered.  A voter answers no
sooner than it knows of that change itself, and confirms nothing to those who do not know of it from then on:
whatever counted by the voters before is in its answer, and the rest counts by the new ones.

A voter that starts again with its disk has nothing to learn, as it had all that it confirmed on disk; nor has
a founder.  One that ended before it had learned is told apart by a note on its disk.
Everything here takes ``now`` (seconds, steady) and does no input or output.
"""

from collections.abc import Mapping

import msgspec

from crowseam.discovery.quorum import leaving, majority
from crowseam.discovery.service_registry import Record, ServiceRegistry

AGAIN = 0.2  # s after which those that have not answered are asked once more
# s after which a newcomer that no majority has answered counts all the same, as voters may be lost for good:
# from then on it is no longer counted as lost (`sync_time`), and has compared registries with all in touch.
MOST = 4.0


class Learn(msgspec.Struct, frozen=True, array_like=True, tag="handover.learn"):
    """Asks a voter for what it has confirmed.

    `slot` is the newest slot of the log that the asker knows, `since` one after which the voters have not
    changed.
    """

    number: int
    slot: int
    since: int


class Learned(msgspec.Struct, frozen=True, array_like=True, tag="handover.learned"):
    """The answer to Learn: the voter's id, servers that leave, and the highest fence seen of each duty."""

    number: int
    by: str
    records: list[Record]
    fences: dict[str, int]


class Handover:
    """What the controller with the voter's id `me` still has to learn.

    `known`: it has counted under this id before its start, or is a founder.  `ready`: it has nothing to
    learn, and may ask to be let in; `counts`: it votes, and has learned what those before it knew.
    """

    def __init__(self, me: str, known: bool) -> None:
        self.me = me
        self.ready = self.counts = known
        self.alone = False  # whether it counts though no majority has answered
        self._voters: dict[str, str] | None = None  # ids by address
        self._pool: dict[str, str] = {}  # id -> address of those to learn from
        self._need = 0
        self._number = 0
        self._got: set[str] = set()
        self._since = 0.0
        self._asked = float("-inf")

    def seat(self, voters: Mapping[str, str], now: float) -> None:
        """The voters as they are known here: ids by address; to be told before each message is handed in."""
        if not voters or voters == self._voters:
            return
        before, self._voters = self._voters or {}, dict(voters)
        was, is_one = self.me in before.values(), self.me in voters.values()
        if not is_one:
            # The majority to learn from is one of these, whatever was learned of those before.
            self._begin(voters, majority(len(voters)), now)
        elif before and not was:
            self.counts = False
            self._begin(before, majority(len(before)), now)
        elif not before and not self.counts:  # let in before it had heard of any voters
            self._begin(voters, majority(len(voters)), now)

    @property
    def learning(self) -> bool:
        """Whether we vote, and have yet to learn what those before us knew."""
        return not self.counts and self._votes()

    def tick(self, now: float, slot: int, since: int) -> list[tuple[str, Learn]]:
        """Whom to ask, as (address, Learn); to be called some times a second."""
        if self.ready or not self._pool:
            return []
        if now - self._since >= MOST:
            self.alone = True
            self._done()
            return []
        if now - self._asked < AGAIN:
            return []
        self._asked = now
        left = sorted((addr, ident) for ident, addr in self._pool.items() if ident not in self._got)
        return [(addr, Learn(self._number, slot, since)) for addr, _ in left]

    def answer(
        self, learn: Learn, registry: ServiceRegistry, fences: dict[str, int], slot: int, since: int, now: float
    ) -> Learned | None:
        """A voter's part, also of one that has just left.

        `slot` and `since` are ours.  None where it has to learn itself, or where one of both does not know of
        the change of voters that the other one knows.
        """
        if not self.counts or learn.slot < since or slot < learn.since:
            return None
        records = [record for record in registry.records(now) if leaving(record)]
        return Learned(learn.number, self.me, records, fences)

    def take(self, learned: Learned) -> bool:
        """An answer. Whether a majority has answered with it: then its content is to be kept, and `kept`."""
        if self.ready or learned.number != self._number or learned.by not in self._pool:
            return False
        self._got.add(learned.by)
        return len(self._got) >= self._need

    def kept(self, number: int) -> None:
        """What came with the answers to this number is on disk."""
        if number == self._number and not self.ready:
            self._done()

    def _votes(self) -> bool:
        return self._voters is not None and self.me in self._voters.values()

    def _begin(self, voters: Mapping[str, str], need: int, now: float) -> None:
        self._pool = {ident: addr for addr, ident in voters.items() if ident != self.me}
        self._need = min(need, len(self._pool))
        self._number += 1
        self._got, self.ready, self.alone = set(), False, False
        self._since, self._asked = now, float("-inf")
        if not self._pool:
            self._done()

    def _done(self) -> None:
        self.ready = True
        self.counts = self.counts or self._votes()
