"""The registry of servers: state that any two copies can merge in any order.

A server's record consists of groups that each merge by themselves: the phase only ever moves towards
``gone``, the description follows the higher ``seq``, the operator's retirement the higher epoch.  Times
travel as ages, because steady clocks of two machines cannot be compared; each copy keeps them against its
own clock.  Everything here takes ``now`` (seconds, steady) and does no input or output.
"""

import ipaddress
import re
from collections.abc import Iterable
from typing import Literal

import msgspec

Phase = Literal["up", "draining", "gone"]
PHASES = {"up": 0, "draining": 1, "gone": 2}
FORGET_AFTER = 30.0  # seconds of silence after which a server that never said farewell is dropped
TOMBSTONE = 60.0  # seconds for which a server that is gone is remembered as such
RETIRED_KEPT = 600.0  # seconds of silence for which an operator's retirement outlives the server's heartbeats
DEAF_AFTER = 5.0  # a longer gap with no report from anybody is taken for trouble of our own
HEIR_QUIET = 1000  # ms an older server must have been silent before a newer one takes its address over
RIVAL_QUIET = 10_000  # ms of silence after which any other server that reports takes the address over

_TIME = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s)")
_NAME = re.compile(r"[!-.0-~]{1,200}")  # printable, no slash, no blank
_FIELD = re.compile(r"`(\$[^`]*)`$")


class DiscoveryError(Exception):
    """A server's report cannot be taken. ``field`` names the part, ``reason`` says why."""

    def __init__(self, field: str, reason: str):
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A report as read and checked; ``warm`` is how much longer the server stays slow, in ms."""

    svc: str
    addr: str
    az: str
    ver: str
    slots: int
    phase: str
    seq: int
    warm: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one life of a server.

    ``warm`` (ms left of its slow start), ``born`` (ms since its first report) and ``quiet`` (ms since its
    last report, or since it was gone) hold for the moment at which this copy was made.  ``retired`` counts
    the operator's changes of mind: odd while the server is retired.
    """

    id: str
    svc: str = ""
    addr: str = ""
    az: str = ""
    ver: str = ""
    slots: int = 0
    phase: Phase = "up"
    seq: int = 0
    warm: int = 0
    retired: int = 0
    born: int = 0
    quiet: int = 0

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.phase == "up" and self.retired % 2 == 0


def material(record: Record) -> tuple:
    """The part of a record whose change others have to hear of."""
    return (
        record.id,
        record.svc,
        record.addr,
        record.az,
        record.ver,
        record.slots,
        record.phase,
        record.retired,
    )


def _description(record: Record) -> tuple:
    return (record.seq, record.svc, record.addr, record.az, record.ver, record.slots)


def join(one: Record, other: Record) -> Record:
    """Merge two copies of a record taken at the same moment. Commutative, associative and idempotent."""
    newer = max(one, other, key=_description)
    if (one.phase == "gone") == (other.phase == "gone"):
        quiet = min(one.quiet, other.quiet)
    else:  # the age of a tombstone counts from the farewell, not from reports that came before it
        quiet = one.quiet if one.phase == "gone" else other.quiet
    return Record(
        id=newer.id,
        svc=newer.svc,
        addr=newer.addr,
        az=newer.az,
        ver=newer.ver,
        slots=newer.slots,
        phase=max(one.phase, other.phase, key=PHASES.__getitem__),
        seq=newer.seq,
        # The end of a slow start is never put off: some servers report what is left, some the whole.
        warm=min(one.warm, other.warm),
        retired=max(one.retired, other.retired),
        born=max(one.born, other.born),
        quiet=quiet,
    )


def aged(record: Record, seconds: float) -> Record:
    """The same copy ``seconds`` later."""
    ms = int(seconds * 1000)
    if ms <= 0:
        return record
    return msgspec.structs.replace(
        record, warm=max(0, record.warm - ms), born=record.born + ms, quiet=record.quiet + ms
    )


class _Summary(msgspec.Struct):
    svc: str
    slots: int
    ver: str = ""
    az: str = ""


class _Stat(msgspec.Struct):
    phase: str
    seq: int
    warmup_time: str = "0ms"


class _Report(msgspec.Struct):
    addr: str
    summary: _Summary
    stat: _Stat


_reports = msgspec.json.Decoder(_Report)


def parse_time(text: str, field: str = "time") -> int:
    """Read a time as written in bodies (``1500ms``, ``2.5s``) into whole ms. Raises DiscoveryError."""
    match = _TIME.fullmatch(text)
    if match is None:
        raise DiscoveryError(field, "must be a number followed by ms or s")
    return round(float(match[1]) * (1000 if match[2] == "s" else 1))


def check_id(ident: str) -> str:
    """Give back a server's id if it can be one. Raises DiscoveryError."""
    if _NAME.fullmatch(ident) is None:
        raise DiscoveryError("id", "must be 1 to 200 printable characters without a slash")
    return ident


def parse_heartbeat(ident: str, body: bytes) -> Heartbeat:
    """Read and check the body of a server's report. Raises DiscoveryError naming the part at fault."""
    check_id(ident)
    try:
        report = _reports.decode(body)
    except msgspec.ValidationError as error:
        where = _FIELD.search(str(error))
        field = where[1].removeprefix("$").removeprefix(".") if where else ""
        raise DiscoveryError(field or "body", str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise DiscoveryError("body", "is not JSON") from None
    summary, stat = report.summary, report.stat
    host, _, port = report.addr.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise DiscoveryError("addr", "must be an IPv4 address and a port") from None
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
        raise DiscoveryError("addr", "must end in a port from 1 to 65535")
    if _NAME.fullmatch(summary.svc) is None:
        raise DiscoveryError("summary.svc", "must be a name")
    if not 0 < summary.slots <= 1_000_000:
        raise DiscoveryError("summary.slots", "must be from 1 to 1000000")
    if len(summary.ver) > 200 or len(summary.az) > 200:
        raise DiscoveryError("summary", "ver and az must be at most 200 characters")
    if stat.phase not in ("up", "draining"):
        raise DiscoveryError("stat.phase", "must be up or draining")
    if not 0 <= stat.seq < 2**62:
        raise DiscoveryError("stat.seq", "must be a whole number from 0")
    warm = parse_time(stat.warmup_time, "stat.warmup_time")
    addr = f"{host}:{int(port)}"
    return Heartbeat(summary.svc, addr, summary.az, summary.ver, summary.slots, stat.phase, stat.seq, warm)


class _Held:
    """A record as kept: a copy, when it was made, and the highest seq anybody has heard of."""

    __slots__ = ("record", "at", "heard", "heard_at", "relayed", "left")

    def __init__(self, record: Record, at: float):
        self.record = record
        self.at = at
        self.heard = record.seq
        self.heard_at = at
        self.relayed = True
        self.left: float | None = None  # since when, as known here, no new requests go there

    def told(self, now: float) -> Record:
        return aged(self.record, now - self.at)

    def quiet(self, now: float) -> float:
        return self.record.quiet / 1000 + (now - self.at)


class ServiceRegistry:
    """One copy of the registry of servers, with a log of its changes.

    ``life`` names this copy: places in the log are numbers that mean something only within one life.
    """

    def __init__(self, life: str, now: float = 0.0):
        self.life = life
        self.version = 0  # moves with every change that digests can see
        self._held: dict[str, _Held] = {}
        self._at_addr: dict[str, set[str]] = {}
        self._order: dict[str, int] = {}  # id -> place of its latest change, in the order of places
        self._lost: dict[str, tuple[Record, float]] = {}  # forgotten ids, still told to controller sessions as gone
        self._place = 0
        self._floor = 0
        self._listening = now  # since when reports have been coming in without a long gap
        self._last_heard = now

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, ident: str) -> bool:
        return ident in self._held

    @property
    def place(self) -> tuple[str, int]:
        """(life, number) of the latest change."""
        return self.life, self._place

    # -- what servers and the operator say

    def heartbeat(self, ident: str, heartbeat: Heartbeat, now: float) -> tuple[Record, bool]:
        """Take a server's report.

        Returns the record as it now stands and whether anything changed that others have to hear of.  A
        late report changes nothing; neither does any report of a server that is gone.
        """
        self._hear(now)
        held = self._held.get(ident)
        fresh = Record(
            ident,
            heartbeat.svc,
            heartbeat.addr,
            heartbeat.az,
            heartbeat.ver,
            heartbeat.slots,
            heartbeat.phase,
            heartbeat.seq,
            heartbeat.warm,
        )
        changed = False
        if held is None:
            held, changed = self._put(ident, fresh, now), True
            held.relayed = False
        elif held.record.phase == "gone" or heartbeat.seq < held.record.seq:
            return held.told(now), False
        else:
            before = held.told(now)
            late = heartbeat.seq <= held.heard
            if late:  # others heard a newer one, of which we know no more than that it came
                fresh = msgspec.structs.replace(fresh, quiet=before.quiet)
            merged = join(before, fresh)
            changed = material(merged) != material(before)
            if changed:
                self._put(ident, merged, now)
            else:
                held.record, held.at = merged, now
            if not late:
                held.heard, held.heard_at, held.relayed = heartbeat.seq, now, False
        self._take_over(held.record, now)
        return held.record, changed

    def leave(self, ident: str, now: float) -> Record:
        """A server says that it ends (or is known to have ended). It never comes back under this id."""
        held = self._held.get(ident)
        if held is not None and held.record.phase == "gone":
            return held.told(now)
        before = held.told(now) if held is not None else Record(ident)
        return self._put(ident, msgspec.structs.replace(before, phase="gone", quiet=0), now).record

    def retire(self, idents: Iterable[str], out: bool, now: float) -> list[Record]:
        """The operator retires servers (``out``) or takes that back. Returns the records that changed."""
        changed = []
        for ident in idents:
            held = self._held.get(ident)
            if held is None or held.record.phase == "gone" or (held.record.retired % 2 == 1) == out:
                continue
            record = held.told(now)
            record = msgspec.structs.replace(record, retired=record.retired + 1)
            changed.append(self._put(ident, record, now).record)
        return changed

    def room(self, idents: Iterable[str], out: bool, silent: Iterable[str] = ()) -> dict[str, tuple[int, int, int]]:
        """Slots of the services of these servers: (in use after they are retired, now, of all servers).

        ``out`` False: after that is taken back.  All counts those that leave, too, but nobody gone; in use
        are servers that get new requests and are not among the ``silent``.
        """
        chosen, quiet = set(idents), set(silent)
        services = {self._held[ident].record.svc for ident in chosen if ident in self._held}
        slots = {svc: [0, 0, 0] for svc in services}
        for ident, held in self._held.items():
            record = held.record
            if record.svc not in services or record.phase == "gone":
                continue
            count = slots[record.svc]
            count[2] += record.slots
            if record.phase == "up" and ident not in quiet:
                retired = record.retired % 2 == 1
                count[1] += 0 if retired else record.slots
                count[0] += 0 if (out if ident in chosen else retired) else record.slots
        return {svc: (after, before, whole) for svc, (after, before, whole) in sorted(slots.items())}

    def leaving(self, now: float) -> list[tuple[Record, float]]:
        """Servers, not gone, that get no new requests, and for how many seconds we have known so."""
        return [
            (held.told(now), now - held.left)
            for _, held in sorted(self._held.items())
            if held.left is not None and held.record.phase != "gone"
        ]

    def matching(self, **fields: str) -> list[str]:
        """Ids of the servers not gone whose fields (svc, addr, az, ver, id, phase) equal those given."""
        return sorted(
            ident
            for ident, held in self._held.items()
            if held.record.phase != "gone"
            and all(getattr(held.record, name) == value for name, value in fields.items())
        )

    # -- what other copies say

    def join(self, record: Record, now: float) -> bool:
        """Merge another copy's record. True if anything changed that our own controller sessions have to hear of."""
        held = self._held.get(record.id)
        if held is None:
            if record.quiet / 1000 >= self._kept(record):
                return False  # its holder is about to drop it too; taking it back would keep it for ever
            self._put(record.id, record, now)
            return True
        before = held.told(now)
        merged = join(before, record)
        if material(merged) != material(before):
            self._put(record.id, merged, now)
            return True
        held.record, held.at = merged, now
        if record.seq > held.heard:
            held.heard, held.heard_at, held.relayed = record.seq, now - record.quiet / 1000, True
        return False

    def heard(self, ident: str, seq: int, now: float) -> bool:
        """Another copy has heard report ``seq`` of a server. False if the server is not known here."""
        held = self._held.get(ident)
        if held is None:
            return False
        # Only a higher number is news: an echo of what we told ourselves must not keep a dead server alive.
        if seq > held.heard and held.record.phase != "gone":
            self._hear(now)
            held.record = msgspec.structs.replace(held.told(now), quiet=0)
            held.at = now
            held.heard, held.heard_at, held.relayed = seq, now, True
        return True

    def heard_since(self, moment: float, relayed: bool = False) -> list[tuple[str, int]]:
        """(id, seq) of the servers heard after ``moment``: here, or with ``relayed`` through others too."""
        return [
            (ident, held.heard)
            for ident, held in self._held.items()
            if held.heard_at > moment and (relayed or not held.relayed) and held.record.phase != "gone"
        ]

    def take_heard(self, told: Iterable[tuple[str, int]], now: float) -> list[str]:
        """Take another copy's ``heard_since``. Returns the ids that are not known here."""
        return [ident for ident, seq in told if not self.heard(ident, seq, now)]

    # -- time

    def silent(self, now: float, after: float) -> list[str]:
        """Servers, not gone, of which nobody has told us a report for ``after`` seconds."""
        return sorted(
            ident for ident, held in self._held.items() if held.record.phase != "gone" and held.quiet(now) >= after
        )

    def expire(self, now: float) -> list[str]:
        """Drop old tombstones and servers silent everywhere; returns the ids of the latter.

        While we hear nobody, or have only just begun to hear again, silence says nothing about servers.
        """
        listening = now - self._last_heard <= DEAF_AFTER and now - self._listening >= FORGET_AFTER
        forgotten = []
        for ident, held in list(self._held.items()):
            record = held.record
            if held.quiet(now) < self._kept(record):
                continue
            if record.phase == "gone":
                self._drop(ident)
                self._floor = max(self._floor, self._order.pop(ident))
            elif listening:
                self._drop(ident)
                self._lost[ident] = (msgspec.structs.replace(held.told(now), phase="gone"), now)
                self._log(ident)
                forgotten.append(ident)
        for ident, (_, at) in list(self._lost.items()):
            if now - at >= TOMBSTONE:
                del self._lost[ident]
                self._floor = max(self._floor, self._order.pop(ident))
        return forgotten

    # -- what controller sessions and others read

    def get(self, ident: str, now: float) -> Record | None:
        """One record, gone or not."""
        held = self._held.get(ident)
        return None if held is None else held.told(now)

    def records(self, now: float) -> list[Record]:
        """Every record, tombstones included."""
        return [held.told(now) for held in self._held.values()]

    def snapshot(self, now: float) -> list[Record]:
        """Every server that is not gone; it stands for the state at ``place``."""
        return [held.told(now) for held in self._held.values() if held.record.phase != "gone"]

    def since(self, life: str, place: int, now: float) -> list[Record] | None:
        """The records changed after ``place``, oldest first; None if that place is not ours or too old.

        A controller session puts each in the place of what it had; a server that was forgotten is told as gone.
        """
        if life != self.life or not self._floor <= place <= self._place:
            return None
        found = []
        for ident in reversed(self._order):
            if self._order[ident] <= place:
                break
            held = self._held.get(ident)
            found.append(held.told(now) if held is not None else self._lost[ident][0])
        found.reverse()
        return found

    def view(self, now: float) -> dict[str, list[Record]]:
        """Usable servers of each service, in the order of their ids."""
        services: dict[str, list[Record]] = {}
        for _, held in sorted(self._held.items()):
            if held.record.usable:
                services.setdefault(held.record.svc, []).append(held.told(now))
        return services

    def service_of(self, ident: str) -> str | None:
        """The service of a usable server; None if there is none of this id."""
        held = self._held.get(ident)
        return held.record.svc if held is not None and held.record.usable else None

    def size_of(self, svc: str) -> int:
        """How many usable servers a service has."""
        return sum(held.record.svc == svc and held.record.usable for held in self._held.values())

    # -- inside

    @staticmethod
    def _kept(record: Record) -> float:
        if record.phase == "gone":
            return TOMBSTONE
        return RETIRED_KEPT if record.retired % 2 else FORGET_AFTER

    def _hear(self, now: float) -> None:
        if now - self._last_heard > DEAF_AFTER:
            self._listening = now
        self._last_heard = now

    def _put(self, ident: str, record: Record, now: float) -> _Held:
        held = self._held.get(ident)
        if held is None:
            held = self._held[ident] = _Held(record, now)
            held.heard_at = now - record.quiet / 1000
            self._lost.pop(ident, None)
        else:
            self._at_addr.get(held.record.addr, set()).discard(ident)
            held.record, held.at = record, now
            if record.seq > held.heard:
                held.heard, held.heard_at, held.relayed = record.seq, now - record.quiet / 1000, True
        if record.usable:
            held.left = None
        elif held.left is None:
            held.left = now
        self._at_addr.setdefault(record.addr, set()).add(ident)
        self._log(ident)
        return held

    def _drop(self, ident: str) -> None:
        held = self._held.pop(ident)
        here = self._at_addr.get(held.record.addr)
        if here is not None:
            here.discard(ident)
            if not here:
                del self._at_addr[held.record.addr]
        self.version += 1

    def _log(self, ident: str) -> None:
        self._place += 1
        self.version += 1
        self._order.pop(ident, None)
        self._order[ident] = self._place

    def _take_over(self, record: Record, now: float) -> None:
        """A report from an address ends the other servers that had it before, as addresses are reused."""
        here = self._at_addr.get(record.addr)
        if here is None or len(here) < 2:
            return
        for ident in sorted(here):
            if ident == record.id:
                continue
            other = self._held[ident].told(now)
            if other.phase == "gone":
                continue
            # A report held up on its way can speak for a server that is no more, hence both conditions.
            if (other.born > record.born and other.quiet >= HEIR_QUIET) or other.quiet >= RIVAL_QUIET:
                self.leave(ident, now)
