"""Model check of lending: the real duties, sessions, grantors, holdings and buckets on a virtual time.

`run` plays seeded random schedules: messages late, lost and doubled; gateways that start, end, stand still and
are cut off; controllers that end, lose their disks, stand still and are parted; clocks that run unevenly;
quotas that change, and asks that swing between gateways. It watches that

- the shares that gateways may use, those cut off included, and the part that the grantor hands out by the request
  sum to at most 1;
- what passes of a tenant in any window is within the rule, wherever it passes and by whatever way;
- one controller at a time holds the duty, and no gateway obeys a lower fence than it has obeyed;
- in calm times a tenant that asks within its quota is served.

What the daemons add to these classes is a few lines each and mirrored here: `Site` is what
`crowseam.gateway` does, `Grantor` what `crowseam.controller` does. One duty is played; others are the same again.

All times are seconds; `now` of a class under check is its own machine's steady clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import lru_cache
from random import Random
from typing import Any

import msgspec

from crowseam.membership.role_context import RoleLeaseTiming
from crowseam.membership.role_leases import RoleLeases
from crowseam.membership.role_messages import RoleLeaseGrant
from crowseam.membership.role_voter import RoleLeaseVoter
from crowseam.membership.sessions import SessionTable
from crowseam.model_checks.schedules import Course, Mutant, Report, Violation, play
from crowseam.quotas.admission import Admission, TenantTerms
from crowseam.quotas.gateway_leases import GatewayLeases
from crowseam.quotas.known_borrowers import KnownBorrowers
from crowseam.quotas.lease_grantor import GrantorTerms, QuotaLeaseGrantor
from crowseam.quotas.lease_messages import SHARE_UNITS, QuotaLease
from crowseam.quotas.reserve import QuotaReserve
from crowseam.quotas.retry_budget import SlidingMaximum
from crowseam.quotas.unleased_allowance import unleased_allowance

STEPS = 30  # acts of a schedule
KEY = "quota/0"
WINDOW, EXCESS, SLACK = 5.0, 0.1, 20.0  # the rule in force: s, parts of the quota, requests
DRIFT = 0.01  # most that a clock gains or loses, so that two differ in speed by up to 2%
TICK, SLICES, PULSE, TELL, SAVE, STRIKE = 0.05, 0.1, 0.25, 0.5, 1.0, 1.0  # s, as in the daemons
REPORT, REPORT_SOON, SILENT, DRAW_TIMEOUT = 0.5, 0.15, 1.1, 0.06  # s, likewise
LATELY, UNKNOWN = 60.0, 96  # likewise
NEAR = 1.1  # s after it was last heard that a controller counts as near
LEASED = 9.0  # s after it was last a member that a gateway may still hold a lease
SETTLED, SERVED = 15.0, 20.0  # s of calm before service is owed; in which it is counted
OWED = 0.9  # of the asks within the quota
TIGHT = 0.1  # s of its rate below which a burst is not owed this: see docs/quotas.md
SIZES = (3, 14, 96)  # gateways, by the seed
SOURCES = ("slice", "extra", "luck", "floor", "reserve")
MODEST = "modest"  # a tenant that asks for half of its rate


class Parts(msgspec.Struct, frozen=True):
    """The classes under check; tests put others in their place that are known to be wrong."""

    lender: Callable[..., QuotaLeaseGrantor] = QuotaLeaseGrantor
    reserve: Callable[..., QuotaReserve] = QuotaReserve
    holdings: Callable[..., GatewayLeases] = GatewayLeases
    admission: Callable[..., Admission] = Admission
    role_leases: Callable[..., RoleLeases] = RoleLeases
    known: Callable[..., KnownBorrowers] = KnownBorrowers
    terms: GrantorTerms = GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05)
    duty_terms: RoleLeaseTiming = RoleLeaseTiming()


class Peak(msgspec.Struct):
    """The window that came nearest to the rule: requests that passed and that may, and by which ways."""

    ratio: float = 0.0
    passed: int = 0
    allowed: float = 0.0
    gateways: int = 0
    rate: float = 0.0
    burst: float = 0.0
    seed: int = 0
    ways: dict[str, float] = {}


class QuotaReport(Report):
    """What was played, and how close it came to the rule.

    `peaks` are by the number of gateways; `most` has for each source the largest part of the allowed that it
    alone passed in a window. `excess` is the most that passed beyond rate x window + burst, as a part of
    what the rule leaves above that. `asked` and `served` are of tenants within their quotas in calm times,
    by the number of gateways; `tight` and `tight_served` the same of those with a burst under TIGHT s of their
    rate.
    """

    peaks: dict[int, Peak] = msgspec.field(default_factory=dict)
    most: dict[str, float] = msgspec.field(default_factory=dict)
    excess: dict[int, float] = msgspec.field(default_factory=dict)
    shares: float = 0.0
    asked: dict[int, int] = msgspec.field(default_factory=dict)
    served: dict[int, int] = msgspec.field(default_factory=dict)
    tight: dict[int, int] = msgspec.field(default_factory=dict)
    tight_served: dict[int, int] = msgspec.field(default_factory=dict)

    def merge(self, other: QuotaReport) -> None:
        """Add what another process has played."""
        super().merge(other)
        self.shares = max(self.shares, other.shares)
        for mine, its in ((self.most, other.most), (self.excess, other.excess)):
            mine.update({key: max(value, mine.get(key, 0.0)) for key, value in its.items()})
        for mine, its in (
            (self.asked, other.asked),
            (self.served, other.served),
            (self.tight, other.tight),
            (self.tight_served, other.tight_served),
        ):
            mine.update({key: value + mine.get(key, 0) for key, value in its.items()})
        for gateways, peak in other.peaks.items():
            self.peaks[gateways] = max(peak, self.peaks.get(gateways, peak), key=lambda each: each.ratio)


class Tape:
    """What passed of one tenant in the last window, anywhere."""

    def __init__(self) -> None:
        self.passed: deque[tuple[float, str, float]] = deque()  # when, source, what came of the slice
        self.ways = dict.fromkeys(SOURCES, 0.0)

    def add(self, at: float, source: str, part: float) -> None:
        ways, passed = self.ways, self.passed
        passed.append((at, source, part))
        ways[source] += part
        ways["extra"] += 1.0 - part
        while passed[0][0] < at - WINDOW:
            _, source, part = passed.popleft()
            ways[source] -= part
            ways["extra"] -= 1.0 - part


class Clock:
    """A machine's steady clock."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.speed = 1.0 + world.rng.uniform(-DRIFT, DRIFT) * world.drift
        self.zero = world.rng.uniform(100.0, 1e5)

    def __call__(self) -> float:
        return self.zero + self.world.now * self.speed


class Grantor:
    """A controller's process: its duties, its roll, and what `crowseam.controller.daemon` does with them."""

    def __init__(self, world: World, name: str, clock: Clock, life: int) -> None:
        self.world, self.name, self.clock, self.life = world, name, clock, life
        now = clock()
        disk = world.disks[name]
        self.role_leases = world.parts.role_leases(
            name,
            Random(world.rng.random()),
            now,
            [KEY],
            world.parts.duty_terms,
            saved_notes=dict(disk["holders"]) if disk and (disk["holders"] or disk["whole"]) else None,
        )
        self.session_table = SessionTable(name, f"{name}.{life}")
        self.known = world.parts.known(disk["gateways"] if disk else (), bool(disk and disk["whole"]), now, LEASED)
        if disk is None:
            world.disks[name] = {"holders": {}, "gateways": set(), "whole": False}
        self.lender: QuotaLeaseGrantor | None = None
        self.reserve: QuotaReserve | None = None
        self.unnamed: dict[str, tuple] = {}  # reports that wait until a majority has the gateway
        self.strike_at = now
        self.heard_at: dict[str, float] = {}
        self.told: dict[str, int] = {}
        self.sessions: dict[str, int] = {}  # gateway -> its session's number
        self.ver = world.ver
        self.pulse_at = self.tell_at = now
        self.save_at = now
        self.writing = 0  # writes of grants that are out
        self.inbox: list[tuple] | None = None  # what came while it stands still

    # What comes

    def take(self, what: Callable, *args: Any) -> None:
        if self.inbox is not None:
            self.inbox.append((what, *args))
        else:
            what(self, *args)

    def thaw(self) -> None:
        inbox, self.inbox = self.inbox or [], None
        if self.world.rng.random() < 0.5:
            self.due()
        for what, *args in inbox:
            what(self, *args)

    def on_ping(self, other: str, life: str, told: Any, ver: int) -> None:
        now = self.clock()
        self.heard_at[other] = now
        self.session_table.record_contact(other, life, now)
        self.ver = max(self.ver, ver)
        if told is not None and not self.session_table.apply_update(told, now):
            self.world.between(self, other, Grantor.on_missing, self.name)

    def on_missing(self, other: str) -> None:
        self.world.between(
            self,
            other,
            Grantor.on_ping,
            self.name,
            self.session_table.incarnation,
            self.session_table.update_since(0, self.clock()),
            self.ver,
        )

    def on_duty(self, other: str, message: Any) -> None:
        self._carry(self.role_leases.handle(other, message, self.clock()))
        self._answer_named(self.clock())

    def on_open(self, gateway: str, life: int, hop: int) -> None:
        self.sessions[gateway] = hop
        now = self.clock()
        self.session_table.open(gateway, str(life), now, hop)
        self._pulse(gateway, self.session_table.count(now), self._touch(now))

    def on_report(self, gateway: str, asks: dict[str, float], held: Any) -> None:
        now = self.clock()
        self.session_table.renew(gateway, now)
        holder = self.role_leases.holder(KEY, now)
        if holder == self.name:
            self._lease(gateway, asks, held, now, lambda lease: self._answer(gateway, lease))
        elif holder is not None:
            self.world.between(self, holder, Grantor.on_ask, self.name, gateway, asks, held)

    def on_ask(self, other: str, gateway: str, asks: dict[str, float], held: Any) -> None:
        self._lease(
            gateway,
            asks,
            held,
            self.clock(),
            lambda lease: self.world.between(self, other, Grantor.on_lent, gateway, lease),
        )

    def on_lent(self, gateway: str, lease: QuotaLease) -> None:
        self._answer(gateway, lease)

    def on_draw(self, gateway: str, tenant: str, number: int, other: str) -> None:
        """A gateway asks its controller, and that one (`other`) the holder."""
        now = self.clock()
        holder = self.role_leases.holder(KEY, now)
        if not other and holder not in (None, self.name):
            return self.world.between(self, holder, Grantor.on_draw, gateway, tenant, number, self.name)
        given, wait = self._drawn(tenant, now)
        if other:
            return self.world.between(self, other, Grantor.on_drawn, gateway, number, given, wait)
        self.on_drawn(gateway, number, given, wait)

    def on_drawn(self, gateway: str, number: int, given: int, wait: float) -> None:
        self.world.to_gateway(self, gateway, Site.drawn, number, given, wait)

    # What it does

    def due(self) -> None:
        if self.inbox is not None:
            return
        now, world = self.clock(), self.world
        live = {other for other, at in self.heard_at.items() if now - at < NEAR}
        self.known.update(now, self._touch(now))
        self._carry(self.role_leases.tick(now, live, set(world.names)))
        if self.lender is not None:
            if self.role_leases.held_fencing_token(KEY, now) != self.lender.fencing_token:
                self.lender = None
                self.unnamed.clear()
            else:
                self.lender.expected_gateways = self.session_table.count(now)
                if now >= self.strike_at:
                    self.strike_at = now + STRIKE
                    self.role_leases.keep_borrowers(KEY, self.lender.borrowers() | self.unnamed.keys(), now)
        self._answer_named(now)
        tell = now >= self.tell_at
        if now >= self.pulse_at:
            self.pulse_at = now + PULSE
            for other in world.names:
                if other != self.name:
                    told = None
                    if tell:
                        told = self.session_table.update_since(self.told.get(other, 0), now)
                        self.told[other] = self.session_table.counter
                    world.between(
                        self, other, Grantor.on_ping, self.name, self.session_table.incarnation, told, self.ver
                    )
            members, touch = self.session_table.count(now), self._touch(now)
            for gateway in self.sessions:
                self._pulse(gateway, members, touch)
            if tell:
                self.tell_at = now + TELL
                for gateway in self.session_table.tick(now):
                    self.sessions.pop(gateway, None)
        if now >= self.save_at:
            self._save(now)

    def _save(self, now: float) -> None:
        self.save_at = now + SAVE
        self.known.record(self.session_table.members(now), now)
        disk = self.world.disks[self.name]
        disk["gateways"], disk["whole"] = self.known.recent(now), self.known.known(now) is not None

    def _pulse(self, gateway: str, members: int, touch: bool) -> None:
        self.world.to_gateway(self, gateway, Site.pulse, self.name, members, self.ver, touch)

    def _touch(self, now: float) -> bool:
        near = sum(now - at < NEAR for at in self.heard_at.values()) + 1
        return 2 * near > len(self.world.names)

    def _carry(self, out: list[tuple[str, Any]]) -> None:
        if not self.role_leases.unsaved and not self.writing:
            return self._post(out)
        grants = [each for each in out if isinstance(each[1], RoleLeaseGrant)]
        self._post([each for each in out if not isinstance(each[1], RoleLeaseGrant)])
        holders, life = self.role_leases.take_unsaved(), self.life
        if not grants and not holders:
            return
        self.writing += 1

        def written() -> None:
            if self.world.grantors.get(self.name) is self and self.life == life:
                self.writing -= 1
                self.world.disks[self.name]["holders"].update(holders)
                self._post(grants)

        self.world.after(self.world.rng.uniform(0.001, 0.01), written)

    def _post(self, out: list[tuple[str, Any]]) -> None:
        for to, message in out:
            self.world.between(self, to, Grantor.on_duty, self.name, message)

    def _answer(self, gateway: str, lease: QuotaLease) -> None:
        self.world.to_gateway(self, gateway, Site.slice, lease)

    def _lease(
        self, gateway: str, asks: dict[str, float], held: Any, now: float, answer: Callable[[QuotaLease], None]
    ) -> None:
        fence = self.role_leases.held_fencing_token(KEY, now)
        if fence is None:
            return
        if held.fencing_token > fence:
            self._carry(self.role_leases.observe_fencing_token(KEY, held.fencing_token, now))
            return
        if self.lender is None or self.lender.fencing_token != fence:
            known = named = self.role_leases.earlier_borrowers(KEY)
            if named is None:
                self.known.record(self.session_table.members(now), now)
                known = self.known.known(now)
            self.role_leases.start_borrower_list(KEY, named or (), now, is_partial=named is None)
            self.unnamed.clear()
            self.lender = self.world.parts.lender(
                fence,
                known,
                self.session_table.count(now),
                now,
                self.world.parts.terms,
                lambda tenant: self.world.versions[self.ver][tenant].rate,
                lambda: self.world.versions[self.ver],
            )
            self.reserve = self.world.parts.reserve(now)
            self.world.outcomes["takeovers"] += 1
            self.world.outcomes["takeovers with all borrowers named"] += named is not None
        self.known.record([gateway], now)
        self.unnamed[gateway] = asks, held, answer
        if not self.role_leases.is_borrower_confirmed(KEY, gateway):
            self._carry(self.role_leases.announce_borrowers(KEY, [gateway], now))
        self._answer_named(now)

    def _answer_named(self, now: float) -> None:
        if self.lender is None or self.role_leases.held_fencing_token(KEY, now) != self.lender.fencing_token:
            return
        for gateway in [gateway for gateway in self.unnamed if self.role_leases.is_borrower_confirmed(KEY, gateway)]:
            asks, held, answer = self.unnamed.pop(gateway)
            if (lease := self.lender.report(gateway, asks, held, now)) is not None:
                answer(lease)

    def _drawn(self, tenant: str, now: float) -> tuple[int, float]:
        if self.lender is None or self.role_leases.held_fencing_token(KEY, now) != self.lender.fencing_token:
            return 0, 0.3
        terms, part = self.world.versions[self.ver][tenant], self.lender.reserve(tenant)
        return self.reserve.draw(tenant, part * terms.rate, part * terms.burst, 1, now)


class Site:
    """A gateway's process: its holdings and buckets, and what `crowseam.gateway` does with them."""

    def __init__(self, world: World, name: str, clock: Clock, life: int) -> None:
        self.world, self.name, self.clock, self.life = world, name, clock, life
        now = clock()
        self.holdings = world.parts.holdings(life)
        self.admission = world.parts.admission(now, Random(world.rng.random()))
        self.began = now
        self.most = SlidingMaximum(LATELY)
        self.members = self.hop = 0
        self.ver = -1
        self.at = ""
        self.heard_at = self.report_at = now
        self.alone_since: float | None = None
        self.dry: dict[str, float] = {}
        self.draws: dict[int, tuple[str, bool, bool]] = {}
        self.last_draw = 0
        self.fence = 0
        self.still = False
        self.plain: dict[str, tuple[float, float]] = {}  # tenant -> bucket without the extra, when

    # Its session

    def pulse(self, grantor: str, members: int, ver: int, in_touch: bool) -> None:
        if grantor != self.at:
            return
        now = self.clock()
        self.heard_at, self.members = now, members
        if in_touch:
            self.alone_since = None
        elif self.alone_since is None:
            self.alone_since = now
        if ver > self.ver:
            self.ver = ver
            self.admission.configure(self.world.versions[ver], now)
            self.slices(now)

    def slice(self, lease: QuotaLease) -> None:
        now, before = self.clock(), (self.holdings.fencing_token, self.holdings._epoch)
        again = self.holdings.apply(lease, now)
        if (self.holdings.fencing_token, self.holdings._epoch) != before and lease.fencing_token < self.fence:
            raise Violation(f"{self.name} obeys fence {lease.fencing_token} after {self.fence}")
        self.fence = max(self.fence, self.holdings.fencing_token)
        if again:
            self.report(now)

    def report(self, now: float) -> None:
        if self.at:
            asks = {name: round(rate, 3) for name, rate in self.admission.demand(now).items()}
            self.world.to_grantor(self, Grantor.on_report, self.name, asks, self.holdings.report(now))

    def due(self) -> None:
        """One look at what is due; the daemon's timers come a little apart from each other."""
        now = self.clock()
        if self.at and (now - self.heard_at > SILENT or self.alone_since is not None and now - self.alone_since > 0.8):
            self.at = ""
        if not self.at and (able := self.world.reached(self.name)):
            self.at, self.hop = self.world.rng.choice(able), self.hop + 1
            self.heard_at, self.alone_since = now, None
            self.world.to_grantor(self, Grantor.on_open, self.name, self.life, self.hop)
        if now >= self.report_at:
            self.report(now)
            self.report_at = now + (REPORT if self.holdings.remaining_s(now) > 0.0 else REPORT_SOON) * (
                self.world.rng.uniform(0.9, 1.1)
            )
        self.slices(now)

    def slices(self, now: float) -> None:
        if self.ver < 0:
            return
        if self.members:
            self.most.observe(self.members, now)
        gateways = self.most.get(now, UNKNOWN)
        for name, terms in self.world.versions[self.ver].items():
            floor, extra = _beside_slices(terms.rate, terms.burst, gateways)
            self.admission.set_share(
                name,
                self.holdings.share(name, now),
                now,
                floor,
                extra=extra,
                expires_at=now + self.holdings.remaining_s(now),
            )

    # Requests

    def ask(self, tenant: str, owed: bool = False, drawn: float | None = None) -> None:
        """One request; `owed`: service of it is counted, as it is within the quota in calm times."""
        if self.ver < 0:
            return
        now, made = self.clock(), self.admission
        t = made.tenants[tenant]
        t.fill(now)
        granted, depth, plain = t.reserve_grants, t.depth(), self._plain(tenant, t, now)
        if made.admit(tenant, 1.0, now, is_recheck=drawn is not None).is_admitted:
            part = 1.0
            if t.reserve_grants < granted:
                source = "reserve"
            elif t.share is None:
                source = "floor"
            elif depth < 1.0:
                source = "luck"
            else:
                source, part = "slice", min(1.0, plain)
                self.plain[tenant] = (plain - part, now)
            if self.world.rng.random() < 0.01:  # it comes to no server
                self.world.after(0.1, self._back, tenant, self.life)
            else:
                self.world.passed(tenant, source, part)
            self.world.served += owed
        elif drawn is not None:
            self.dry[tenant] = now + drawn
        elif now >= self.dry.get(tenant, 0.0) and self.at:
            self.last_draw += 1
            self.draws[self.last_draw] = (tenant, not owed and self.world.rng.random() < 0.02, owed)
            self.world.to_grantor(self, Grantor.on_draw, self.name, tenant, self.last_draw, "")
            self.world.after(DRAW_TIMEOUT, self.drawn, self.last_draw, 0, DRAW_TIMEOUT)

    def drawn(self, number: int, given: int, wait: float) -> None:
        if number not in self.draws or self.still or self.world.sites.get(self.name) is not self:
            return
        tenant, gone, owed = self.draws.pop(number)
        if given:
            self.admission.add_reserve_grant(tenant, given)
        if not gone:
            self.ask(tenant, owed, 0.0 if given else wait)

    def _plain(self, tenant: str, t: Any, now: float) -> float:
        if t.share is None:
            return 0.0
        level, at = self.plain.get(tenant, (0.0, self.began))
        return min(t.terms.burst * t.share, level + t.fill_rate() * max(0.0, now - at))

    def _back(self, tenant: str, life: int) -> None:
        if self.world.sites.get(self.name) is self and not self.still:
            self.admission.refund(tenant, self.clock())


class World(Course):
    """Controllers and gateways, the links between them, and what passes."""

    def __init__(
        self,
        seed: int,
        gateways: int,
        voters: int,
        tenants: dict[str, TenantTerms],
        parts: Parts,
        report: QuotaReport,
        drift: float = 1.0,
    ) -> None:
        super().__init__(seed)
        self.seed, self.parts, self.report, self.drift = seed, parts, report, drift
        self.versions, self.ver = [tenants], 0
        self.used_at: dict[int, float] = {0: 0.0}  # version -> when a gateway last went by it
        self.names = [f"r{number}" for number in range(voters)]
        self.gateways = [f"d{number}" for number in range(gateways)]
        self.disks: dict[str, Any] = {name: {"holders": {}, "gateways": set(), "whole": True} for name in self.names}
        self.grantors: dict[str, Grantor] = {}
        self.sites: dict[str, Site] = {}
        self.cut: dict[tuple[str, str], float] = {}  # two machines, in order -> until when
        self.lives = 0
        self.tapes = {name: Tape() for name in tenants}
        self.demand: dict[tuple[str, str], float] = {}  # gateway, tenant -> asks a second
        self.owing: dict[tuple[str, str], float] = {}
        self.asked = self.served = 0
        self.counting = False
        self.bucket = (0.0, 0.0)
        self.clocks = {name: Clock(self) for name in self.names + self.gateways}
        for name in self.names:
            self.start_grantor(name)
        for name in self.gateways:
            self.start_site(name)
        self._look()

    # Machines

    def start_grantor(self, name: str) -> None:
        if name in self.grantors:
            return
        self.lives += 1
        grantor = self.grantors[name] = Grantor(self, name, self.clocks[name], self.lives)
        self._tick_grantor(grantor)

    def _tick_grantor(self, grantor: Grantor) -> None:
        if self.grantors.get(grantor.name) is grantor:
            grantor.due()
            self.after(TICK, self._tick_grantor, grantor)

    def freeze(self, name: str, span: float) -> None:
        """The process stands still; what comes meanwhile waits."""
        grantor = self.grantors.get(name)
        if grantor is not None and grantor.inbox is None:
            grantor.inbox = []
            self.after(span, self._thaw, grantor)

    def _thaw(self, grantor: Grantor) -> None:
        if self.grantors.get(grantor.name) is grantor:
            grantor.thaw()

    def start_site(self, name: str) -> None:
        if name in self.sites:
            return
        self.lives += 1
        site = self.sites[name] = Site(self, name, self.clocks[name], self.lives)
        self.after(self.rng.uniform(0.0, SLICES), self._tick_site, site)

    def _tick_site(self, site: Site) -> None:
        if self.sites.get(site.name) is not site:
            return
        if not site.still:
            site.due()
            if site.ver >= 0:
                self.used_at[site.ver] = self.now
            for tenant in self.versions[0]:
                owing = self.owing.get((site.name, tenant), 0.0)
                owing += self.demand.get((site.name, tenant), 0.0) * SLICES
                for _ in range(int(owing)):
                    if self.counting:
                        self.after(self.rng.uniform(0.0, SLICES), self.ask, site, tenant)
                    else:
                        self.ask(site, tenant)
                self.owing[site.name, tenant] = owing - int(owing)
        self.after(SLICES, self._tick_site, site)

    def rest(self, name: str, span: float) -> None:
        """A gateway stands still, and then first answers what has come meanwhile."""
        site = self.sites.get(name)
        if site is not None and not site.still:
            site.still = True
            self.after(span, self._wake, site)

    def _wake(self, site: Site) -> None:
        site.still = False
        if self.sites.get(site.name) is site:
            if site.ver >= 0:
                self.used_at[site.ver] = self.now
            for tenant in self.versions[0]:
                for _ in range(int(min(400, 5 * self.demand.get((site.name, tenant), 0.0)))):
                    self.ask(site, tenant)

    # Links

    def open(self, one: str, other: str) -> bool:
        return self.now >= self.cut.get((min(one, other), max(one, other)), 0.0)

    def part(self, one: str, other: str, span: float) -> None:
        pair = (min(one, other), max(one, other))
        self.cut[pair] = max(self.cut.get(pair, 0.0), self.now + span)

    def reached(self, gateway: str) -> list[str]:
        """The controllers that take a connection."""
        return [
            name
            for name in self.names
            if self.open(gateway, name) and name in self.grantors and self.grantors[name].inbox is None
        ]

    def between(self, grantor: Grantor, other: str, what: Callable, *args: Any) -> None:
        if other == grantor.name:
            return what(grantor, *args)
        to = self.grantors.get(other)
        if to is not None:
            self.carry(self._at_grantor, grantor.name, to, what, args)

    def to_grantor(self, site: Site, what: Callable, *args: Any) -> None:
        to = self.grantors.get(site.at)
        if to is not None:
            self.carry(self._at_grantor, site.name, to, what, args)

    def _at_grantor(self, sender: str, to: Grantor, what: Callable, args: tuple) -> None:
        if self.grantors.get(to.name) is to and self.open(sender, to.name):
            to.take(what, *args)

    def to_gateway(self, grantor: Grantor, gateway: str, what: Callable, *args: Any) -> None:
        if gateway in grantor.sessions:
            self.carry(self._at_gateway, grantor.name, gateway, what, args)

    def _at_gateway(self, sender: str, gateway: str, what: Callable, args: tuple) -> None:
        site = self.sites.get(gateway)
        if site is not None and not site.still and self.open(sender, gateway):
            what(site, *args)

    # What passes

    def ask(self, site: Site, tenant: str) -> None:
        owed = False
        if self.counting and tenant == MODEST:
            # Owed is what one bucket for all gateways would let through.
            terms, (level, at) = self.versions[self.ver][MODEST], self.bucket
            level = min(max(1.0, terms.burst), level + terms.rate * (self.now - at))
            owed = level >= 1.0
            self.bucket = (level - owed, self.now)
            self.asked += owed
        site.ask(tenant, owed)

    def passed(self, tenant: str, source: str, part: float) -> None:
        """A request of the tenant runs, `part` of it by the slice and the rest by the extra."""
        tape = self.tapes[tenant]
        tape.add(self.now, source, part)
        terms = [self.versions[ver][tenant] for ver, at in self.used_at.items() if at >= self.now - WINDOW]
        quota = max(each.rate * WINDOW + each.burst for each in terms)
        spare = EXCESS * quota + SLACK
        count, report, gateways = len(tape.passed), self.report, len(self.gateways)
        ratio = count / (quota + spare)
        for way, passed in tape.ways.items():
            report.most[way] = max(report.most.get(way, 0.0), passed / (quota + spare))
        report.excess[gateways] = max(report.excess.get(gateways, 0.0), (count - quota) / spare)
        if ratio > report.peaks.setdefault(gateways, Peak()).ratio:
            last = max(terms, key=lambda each: each.rate * WINDOW + each.burst)
            ways = {way: round(passed, 1) for way, passed in tape.ways.items() if passed > 0.05}
            report.peaks[gateways] = Peak(ratio, count, quota + spare, gateways, last.rate, last.burst, self.seed, ways)
        if count > quota + spare:
            told = ", ".join(f"{way} {passed:.1f}" for way, passed in tape.ways.items() if passed > 0.05)
            raise Violation(
                f"{gateways} gateways pass {count} of {tenant} in {WINDOW:g} s, the rule allows "
                f"{quota + spare:.1f}: {told}"
            )

    # What must hold

    def _look(self) -> None:
        self.check()
        self.after(TICK, self._look)

    def check(self) -> None:
        holding = [
            name
            for name, grantor in self.grantors.items()
            if grantor.role_leases.held_fencing_token(KEY, grantor.clock()) is not None
        ]
        if len(holding) > 1:
            raise Violation(f"{' and '.join(holding)} hold the duty")
        sums: dict[str, int] = {}
        for site in self.sites.values():
            now = site.clock()
            for tenant in self.tapes:
                share = site.holdings.share(tenant, now)
                if share:
                    sums[tenant] = sums.get(tenant, 0) + round(share * SHARE_UNITS)
        lender = self.grantors[holding[0]].lender if holding else None
        if lender is not None and lender.fencing_token != self.grantors[holding[0]].role_leases.held_fencing_token(
            KEY, self.grantors[holding[0]].clock()
        ):
            lender = None
        for tenant, used in sums.items():
            self.report.shares = max(self.report.shares, used / SHARE_UNITS)
            kept = 0 if lender is None else round(lender.reserve(tenant) * SHARE_UNITS)
            if used + kept > SHARE_UNITS:
                raise Violation(
                    f"shares of {tenant} in use sum to {used / SHARE_UNITS:.4f}, and the grantor keeps "
                    f"{kept / SHARE_UNITS:.4f}"
                )


class _Schedule:
    """One random schedule: `steps` acts of clients, operators and fate, then calm and a look at service."""

    def __init__(self, seed: int, steps: int, parts: Parts, report: QuotaReport, gateways: int | None) -> None:
        rng = Random(f"lending {seed}")
        gateways = gateways or SIZES[seed % len(SIZES)]
        tenants = {name: _terms(rng) for name in ("small", "large")}
        tenants["small"] = TenantTerms(rng.choice((0.5, 0.5, 1.0, 2.0)), rng.choice((1.0, 2.0)))
        tenants[MODEST] = _terms(rng)
        self.steps, self.report = steps, report
        self.world = World(seed, gateways, rng.choice((3, 3, 5)), tenants, parts, report)

    def play(self) -> None:
        world, rng = self.world, self.world.rng
        world.run_until(3.0)
        world.loss, world.doubled, world.late = (rng.choice((0.0, 0.01, 0.05)) for _ in range(3))
        for _ in range(self.steps):
            rng.choice(self._ACTS)(self)
            world.run_until(world.now + rng.choice((0.01, 0.1, 0.5, 1.5, 4.0)))
        world.steady()
        world.cut.clear()
        for name in world.names:
            world.start_grantor(name)
        for name in world.gateways:
            world.start_site(name)
        self._modest(world.versions[world.ver][MODEST].rate * 0.5)
        world.run_until(world.now + SETTLED)
        world.counting = True
        world.run_until(world.now + SERVED)
        world.counting = False
        gateways, report, terms = len(world.gateways), self.report, world.versions[world.ver][MODEST]
        if terms.burst < TIGHT * terms.rate:
            report.tight[gateways] = report.tight.get(gateways, 0) + world.asked
            report.tight_served[gateways] = report.tight_served.get(gateways, 0) + world.served
            return
        report.asked[gateways] = report.asked.get(gateways, 0) + world.asked
        report.served[gateways] = report.served.get(gateways, 0) + world.served
        if world.asked >= 20 and world.served < OWED * world.asked:
            raise Violation(
                f"in calm times {world.served} of {world.asked} requests within a quota of "
                f"{terms.rate:g}/s and {terms.burst:g} pass at {gateways} gateways"
            )

    # What clients do

    def _demand(self, tenant: str, rates: dict[str, float]) -> None:
        for name in self.world.gateways:
            self.world.demand[name, tenant] = rates.get(name, 0.0)
            self.world.owing[name, tenant] = self.world.rng.random()

    def _modest(self, rate: float) -> None:
        self._demand(MODEST, dict.fromkeys(self.world.gateways, rate / len(self.world.gateways)))

    def _hot(self) -> None:
        """A tenant begins to ask for more than it may, at once and at every gateway."""
        world = self.world
        tenant = world.rng.choice(list(world.tapes))
        terms, gateways = world.versions[world.ver][tenant], len(world.gateways)
        each = 2.0 * terms.rate / gateways + 1.0
        self._demand(tenant, dict.fromkeys(world.gateways, each))
        for site in list(world.sites.values()):
            if not site.still:
                for _ in range(int(1.5 * terms.burst / gateways) + 3):
                    world.ask(site, tenant)

    def _swing(self) -> None:
        """All that a tenant asks comes to one gateway, or a few."""
        world = self.world
        tenant = world.rng.choice(list(world.tapes))
        terms = world.versions[world.ver][tenant]
        some = world.rng.sample(world.gateways, world.rng.choice((1, 1, 2, 3)))
        self._demand(tenant, dict.fromkeys(some, 2.0 * terms.rate + 1.0))

    def _silence(self) -> None:
        self._demand(self.world.rng.choice(list(self.world.tapes)), {})

    def _calm(self) -> None:
        """Buckets fill."""
        for tenant in self.world.tapes:
            self._demand(tenant, {})
        self.world.run_until(self.world.now + self.world.rng.choice((3.0, 10.0)))

    def _configure(self) -> None:
        world = self.world
        tenant = world.rng.choice(list(world.tapes))
        terms = TenantTerms(0.5, 1.0) if world.rng.random() < 0.4 else _terms(world.rng)
        world.versions.append({**world.versions[-1], tenant: terms})
        world.ver += 1
        for grantor in world.grantors.values():
            if world.rng.random() < 0.8:
                world.after(world.rng.uniform(0.0, 0.3), grantor.on_ping, grantor.name, "", None, world.ver)

    # What fate does

    def _some(self, names: list[str]) -> list[str]:
        count = self.world.rng.choice((1, 1, 2, len(names) // 2, len(names) - 1, len(names)))
        return self.world.rng.sample(names, max(1, min(count, len(names))))

    def _cut_gateways(self) -> None:
        world = self.world
        span = world.rng.choice((0.3, 2.0, 6.0, 9.0, 15.0))
        for gateway in self._some(world.gateways):
            for name in world.names:
                world.part(gateway, name, span)

    def _cut_grantors(self) -> None:
        world = self.world
        one, span = world.rng.choice(world.names), world.rng.choice((0.3, 2.0, 5.0, 12.0))
        for other in world.names:
            if other != one and world.rng.random() < 0.8:
                world.part(one, other, span)

    def _end_gateways(self) -> None:
        world = self.world
        for gateway in self._some(world.gateways)[:14]:
            if world.sites.pop(gateway, None) is not None:
                world.after(world.rng.choice((0.02, 0.5, 4.0, 12.0)), world.start_site, gateway)

    def _rest_gateway(self) -> None:
        self.world.rest(self.world.rng.choice(self.world.gateways), self.world.rng.choice((0.3, 3.0, 9.0, 15.0)))

    def _end_grantor(self) -> None:
        self._end(self.world.rng.choice(self.world.names), self.world.rng.random() < 0.3)

    def _end_all(self) -> None:
        for name in self.world.names:
            self._end(name, False)

    def _end(self, name: str, wiped: bool) -> None:
        """A controller ends. Of two that are gone only one may have lost its disk, as of votes elsewhere."""
        world = self.world
        if world.grantors.pop(name, None) is not None:
            if wiped:
                world.disks[name] = None
            world.after(world.rng.choice((0.1, 1.0, 4.0, 12.0, 30.0)), world.start_grantor, name)

    def _lose_together(self) -> None:
        """A controller is cut off from others; a gateway comes to it, borrows, and is lost with its grantor."""
        world, rng = self.world, self.world.rng
        holding = [name for name, grantor in world.grantors.items() if grantor.lender is not None]
        others = [name for name in world.names if name not in holding]
        gateway, at = rng.choice(world.gateways), rng.choice(others)
        for other in rng.sample(others, rng.choice((1, len(others) // 2))):
            if other != at:
                world.part(at, other, 20.0)
        for name in world.names:
            if name != at:
                world.part(gateway, name, 30.0)
        if rng.random() < 0.5:
            world.sites.pop(gateway, None)
            world.run_until(world.now + rng.choice((0.5, 10.0)))
            world.start_site(gateway)
        self._demand("large", {gateway: 2.0 * world.versions[world.ver]["large"].rate + 1.0})
        world.run_until(world.now + rng.choice((0.02, 0.1, 0.3, 1.0, 4.0)))
        for name in holding:
            self._end(name, False)
        world.after(rng.choice((0.0, 0.01, 0.2, 1.0)), world.part, gateway, at, 20.0)
        self._hot()

    def _freeze(self) -> None:
        rng = self.world.rng
        self.world.freeze(rng.choice(self.world.names), rng.choice((0.3, 1.4, 3.0, 12.0)))

    _ACTS = (
        _hot,
        _hot,
        _hot,
        _swing,
        _swing,
        _silence,
        _calm,
        _configure,
        _cut_gateways,
        _cut_gateways,
        _cut_grantors,
        _end_gateways,
        _rest_gateway,
        _end_grantor,
        _end_grantor,
        _end_all,
        _freeze,
        _freeze,
        _lose_together,
        _lose_together,
    )


@lru_cache
def _beside_slices(rate: float, burst: float, gateways: int) -> tuple[float, float]:
    """What one of so many gateways may pass of a tenant by itself, under the rule in force."""
    return unleased_allowance(rate, burst, WINDOW, EXCESS, SLACK, gateways)


def _terms(rng: Random) -> TenantTerms:
    rate = rng.choice((0.5, 2.0, 8.0, 20.0, 60.0, 200.0))
    return TenantTerms(rate, rng.choice((1.0, max(1.0, rate), 2.0 * rate + 1.0)))


def run(seeds: Iterable[int], steps: int = 30, parts: Parts | None = None, gateways: int | None = None) -> QuotaReport:
    """Play one random schedule of `steps` acts for each seed; `gateways` 0 or None: by the seed."""
    report = QuotaReport()
    play(seeds, lambda seed: _Schedule(seed, steps, parts or Parts(), report, gateways), report)
    return report


# The code without one of its guards.


class _LenderThatForgets(QuotaLeaseGrantor):
    """Takes a lowering for done before the gateway has named the new lease."""

    def _update_in_use(self, known: Any, now: float) -> None:
        known.leases = known.leases[-1:]
        super()._update_in_use(known, now)


class HoldingsThatObeyAll(GatewayLeases):
    """Obeys a lower fence than it has obeyed."""

    def apply(self, lease: QuotaLease, now: float) -> bool:
        """As a gateway would that does not compare fencing tokens."""
        if lease.fencing_token < self.fencing_token:
            self.fencing_token, self._epoch = lease.fencing_token, -1
        return super().apply(lease, now)


class _GrantsToAll(RoleLeaseVoter):
    def on_request(self, sender: str, request: Any, now: float) -> Any:
        self.roles[request.key].until = float("-inf")
        return super().on_request(sender, request, now)


class _VotersThatGrantToAll(RoleLeases):
    voter_type = _GrantsToAll


class _BucketsThatHoldMore(Admission):
    def set_share(
        self, tenant: str, share: Any, now: float, floor: float = 0.0, extra: float = 0.0, expires_at: float = 0.0
    ) -> None:
        super().set_share(tenant, share, now, floor, extra=extra + 40.0, expires_at=expires_at)


class _ReserveWithoutEnd(QuotaReserve):
    def draw(self, tenant: str, rate: float, burst: float, count: int, now: float) -> tuple[int, float]:
        return count, 0.0


class BorrowersUnnamed(RoleLeases):
    """As before borrowers were named: a new grantor knows those that its own controller has seen."""

    def earlier_borrowers(self, key: str) -> None:
        """Not known."""

    def is_borrower_confirmed(self, key: str, name: str) -> bool:
        """Nobody needs to be."""
        return True


class LentToUnnamed(RoleLeases):
    """Lends to a gateway at once, and names it meanwhile."""

    def is_borrower_confirmed(self, key: str, name: str) -> bool:
        """Without a majority."""
        return True


class _NeverIncomplete(RoleLeaseVoter):
    def _update_borrowers(self, role: Any, request: Any, now: float) -> Any:
        role.incomplete_until = float("-inf")
        return super()._update_borrowers(role, request, now)


class _BelievesTheBlind(RoleLeases):
    voter_type = _NeverIncomplete


class _BelievesAny(RoleLeases):
    def earlier_borrowers(self, key: str) -> set[str] | None:
        known = [names for names in self._claims[key].borrowers.earlier_by_voter.values() if names is not None]
        return {name for names in known for name in names} if known else None


class _StrikesEarly(RoleLeases):
    def keep_borrowers(self, key: str, names: Any, now: float) -> None:
        super().keep_borrowers(key, (), now)


class _ListsAnew(RoleLeases):
    def start_borrower_list(self, key: str, names: Any, now: float, is_partial: bool = False) -> None:
        super().start_borrower_list(key, (), now, is_partial)


class _NeverPartial(RoleLeases):
    def start_borrower_list(self, key: str, names: Any, now: float, is_partial: bool = False) -> None:
        super().start_borrower_list(key, names, now)


def _mutant(guard: str, seed: int | None = None, why: str = "", gateways: int = 3, **parts: Any) -> Mutant:
    return Mutant(guard, lambda seeds: run(seeds, STEPS, Parts(**parts), gateways), seed, why)


MUTANTS = (
    _mutant("the wait until a lowering is confirmed", 22, lender=_LenderThatForgets),
    _mutant("one holder at a voter at a time", 0, role_leases=_VotersThatGrantToAll),
    _mutant("the voters' margin", 3, duty_terms=RoleLeaseTiming(margin_s=-0.2)),
    _mutant("the fence at the gateway", 22, holdings=HoldingsThatObeyAll),
    _mutant("the bound of the extra", 10, admission=_BucketsThatHoldMore),
    _mutant("the bound of the reserve", 0, reserve=_ReserveWithoutEnd),
    _mutant("borrowers named to the next grantor", 9, role_leases=BorrowersUnnamed),
    _mutant("the majority that has a borrower before it is lent to", 2, role_leases=LentToUnnamed),
    _mutant("blindness of a voter that has started", 3, role_leases=_BelievesTheBlind),
    _mutant("the majority that tells of borrowers", 8, role_leases=_BelievesAny),
    _mutant("the lease's end before a borrower is struck", 1, role_leases=_StrikesEarly),
    _mutant("the borrowers of the hand before in the new list", 31, role_leases=_ListsAnew),
    _mutant(
        "blindness of voters that take a list with gaps",
        why="by hand: test_role_leases.BorrowersTest; "
        "takes two changes of hands within 9 s of a start, and a gateway cut off through both",
        role_leases=_NeverPartial,
    ),
)


def metrics(report: QuotaReport) -> list[str]:
    """The report's figures as lines of text."""
    lines = [f"largest sum of shares in use {report.shares:.4f}"]
    lines.append(
        "largest part of the allowed by one way: "
        + ", ".join(f"{way} {report.most.get(way, 0.0):.2f}" for way in SOURCES)
    )
    for gateways, peak in sorted(report.peaks.items()):
        ways = ", ".join(f"{way} {passed:g}" for way, passed in peak.ways.items())
        tight = f"{report.tight_served.get(gateways, 0)} of {report.tight.get(gateways, 0)}"
        lines.append(
            f"{gateways} gateways: {peak.ratio:.3f} of the allowed ({peak.passed} of {peak.allowed:.1f}; "
            f"{peak.rate:g}/s, burst {peak.burst:g}; seed {peak.seed}: {ways}); "
            f"{report.excess[gateways]:.2f} of what is left above the quota; "
            f"served {report.served.get(gateways, 0)} of {report.asked.get(gateways, 0)} in calm times, "
            f"with next to no burst {tight}"
        )
    return lines
