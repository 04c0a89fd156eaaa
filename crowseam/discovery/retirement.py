"""Servers that leave: what a controller session must not unlearn, and who still has requests under way there.

A gateway may pass from a controller that knows of a retirement to one that does not yet.  So it keeps what it was
told of servers that leave, and takes nothing older in its place.  Everything here takes ``now`` (seconds,
steady) and does no input or output.
"""

from collections.abc import Iterable, Mapping
from math import inf

import msgspec

from crowseam.discovery.service_registry import FORGET_AFTER, PHASES, RETIRED_KEPT, TOMBSTONE, Record

LEAST_ROOM = 1 / 3  # of the slots of a service; a retirement that leaves less has to be forced
HEARD_SINCE = 1.0  # seconds after its end by which a server must have reported to count as never ended
SWEEP = 10.0  # seconds between two looks for what need not be remembered any more
AWAY_KEPT = 60.0  # seconds for which an ingress that was lost from sight holds back the word that it is safe


def tight(room: Mapping[str, tuple[int, int, int]]) -> list[str]:
    """The services, of ServiceRegistry.room, that would lose slots and keep too few."""
    return [svc for svc, (after, before, whole) in room.items() if after < before and after < LEAST_ROOM * whole]


def shares(room: Mapping[str, tuple[int, int, int]]) -> dict[str, float]:
    """The share of its slots that each service, of ServiceRegistry.room, would have in use."""
    return {svc: round(after / whole, 3) if whole else 0.0 for svc, (after, _, whole) in room.items()}


class Memory:
    """What a gateway was told of servers that leave; it outlives the gateway's sessions."""

    def __init__(self) -> None:
        self._left: dict[str, tuple[Record, float]] = {}  # what was told, and when
        self._swept = -inf

    def __len__(self) -> int:
        return len(self._left)

    def take(self, records: Iterable[Record], whole: bool, now: float) -> list[Record]:
        """Records of a controller, all there are (``whole``) or those changed, with nothing in them undone."""
        told = [self._one(record, now) for record in records]
        if not whole and now - self._swept < SWEEP:
            return told
        self._swept = now
        named = {record.id for record in told} if whole else ()
        for ident, (record, at) in list(self._left.items()):
            # A controller that names none of it may be behind; it may also be right.
            kept = TOMBSTONE if record.phase == "gone" else RETIRED_KEPT
            if now - at > kept and (record.phase == "gone" or (whole and ident not in named)):
                del self._left[ident]
        return told

    def _one(self, record: Record, now: float) -> Record:
        known, at = self._left.get(record.id, (None, 0.0))
        if known is not None:
            phase = known.phase
            # One that ended by its own word never comes back. A controller that stood still may yet read a heartbeat
            # of before, and take it for news: only one that was forgotten for its silence can have been well.
            if phase == "gone" and record.phase != "gone" and known.quiet >= FORGET_AFTER * 1000:
                ended = at - known.quiet / 1000
                if now - record.quiet / 1000 > ended + HEARD_SINCE:
                    phase = "up"  # it was only taken for dead, and has reported since
            record = msgspec.structs.replace(
                record,
                phase=max(phase, record.phase, key=PHASES.__getitem__),
                retired=max(known.retired, record.retired),
            )
        if record.phase == "up" and not record.retired:
            self._left.pop(record.id, None)
        elif known is None or (known.phase, known.retired) != (record.phase, record.retired):
            self._left[record.id] = (record, now)
        return record


class Look:
    """One look at what gateways still have under way at servers that leave, from all who can tell.

    ``own`` are the gateways asked by ourselves, ``controllers`` those asked for theirs, ``others`` the gateways that
    are known to be with these.  ``out`` has what each gateway told, by server; None while it has told nothing.
    """

    def __init__(self, own: Iterable[str], controllers: Iterable[str] = (), others: Iterable[str] = ()) -> None:
        self.waiting = set(own)
        self.out: dict[str, dict[str, int] | None] = dict.fromkeys((*self.waiting, *others))
        self.silent = set(controllers)
        self.away: dict[str, float] = {}
        self.ages: dict[str, float] = {}

    def gateway(self, name: str, out: dict[str, int]) -> None:
        """A gateway has taken in the news, and tells its requests under way by server; others have none."""
        self.out[name] = out
        self.waiting.discard(name)

    def controller(
        self,
        addr: str,
        out: Mapping[str, dict[str, int] | None],
        away: Mapping[str, float],
        ages: Mapping[str, float],
    ) -> None:
        """What a controller gathered, the gateways it misses, and the seconds that servers have been leaving."""
        self.silent.discard(addr)
        for gateway, told in out.items():
            if told is not None or gateway not in self.out:
                self.out[gateway] = told
        for gateway, span in away.items():
            self.away[gateway] = min(span, self.away.get(gateway, span))
        for ident, span in ages.items():
            self.ages[ident] = max(span, self.ages.get(ident, span))

    @property
    def whole(self) -> bool:
        """Whether all have answered that were asked."""
        return not (self.waiting or self.silent)

    def missing(self) -> dict[str, float]:
        """Gateways lost from sight, by seconds; those that have answered since are none."""
        return {
            gateway: span for gateway, span in sorted(self.away.items()) if gateway not in self.out and span < AWAY_KEPT
        }

    def told(self, leaving: Iterable[tuple[Record, float]], in_touch: bool, wall: float) -> list[dict]:
        """What an operator gets to see of each server; ``wall`` is the time of day, in seconds.

        A server is safe to switch off when every ingress that may know of it has confirmed the news and none
        has a request under way there.
        """
        late = sorted(gateway for gateway, out in self.out.items() if out is None)
        clear = in_touch and not late and not self.missing()
        rows = []
        for record, age in leaving:
            age = max(age, self.ages.get(record.id, 0.0))
            busy = {
                gateway: out[record.id]
                for gateway, out in sorted(self.out.items())
                if out is not None and out.get(record.id)
            }
            rows.append(
                {
                    "id": record.id,
                    "svc": record.svc,
                    "addr": record.addr,
                    "az": record.az,
                    "ver": record.ver,
                    "state": "retired" if record.retired % 2 else "draining",
                    "since": round(wall - age, 3),
                    "for_s": round(age, 3),
                    "silent_s": round(record.quiet / 1000, 3),
                    "under_way": busy,
                    "unconfirmed": late,
                    "safe": clear and not busy,
                }
            )
        return rows


class RacedError(Exception):
    """Others say the opposite of the same server at the same time."""


class Asked:
    """An operator's call: servers to retire (``out``) or take back, until a majority of the voters has each.

    Our own copy may be behind what another controller acknowledged, so what a majority holds may turn out to
    be later than what we wrote, and the opposite of it.  Then it is written once more on top of that.
    """

    ROUNDS = 3  # times that one server is written before it is taken for a race

    def __init__(self, idents: Iterable[str], out: bool) -> None:
        self.found = sorted(idents)
        self.out = out
        self.left = set(self.found)
        self.changed: set[str] = set()
        self._rounds = dict.fromkeys(self.found, 0)

    def held(self, ident: str, record: Record | None) -> bool:
        """A majority has ``record``, our newest of this server. True: it has to be written and held again.

        Raises RacedError when that has been so too often.
        """
        if record is None or record.phase == "gone" or (record.retired % 2 == 1) == self.out:
            self.left.discard(ident)
            return False
        self._rounds[ident] += 1
        if self._rounds[ident] >= self.ROUNDS:
            raise RacedError(f"{ident} is retired and taken back at the same time")
        return True
