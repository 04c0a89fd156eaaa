"""Model check of quota leases: the real role leases, sessions, grantors, gateway leases and buckets on a virtual clock.

`run` executes seeded random schedules: messages are delayed, lost and duplicated; gateways start, stop, freeze and are
partitioned; controllers stop, lose their disks, freeze and are partitioned; clocks run at different rates; quotas
change, and demand moves between gateways. It checks that

- the shares that gateways may use, partitioned ones included, and the reserve that the grantor hands out by the request
  sum to at most 1;
- the requests of a tenant admitted in any window are within the rule, whichever gateway and mechanism admits them;
- one controller at a time holds the role, and no gateway accepts a lower fencing token than one it has accepted;
- without faults a tenant that requests no more than its quota is served.

The daemons add a few lines each to these classes, which are mirrored here: `SimulatedGateway` does what
`crowseam.gateway` does, `SimulatedController` what `crowseam.controller` does. One role is simulated; others behave
the same.

All times are in seconds; `now` of a class under check is its own machine's monotonic clock.
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
from crowseam.model_checks.schedules import EventSimulation, Mutant, Report, Violation, play
from crowseam.quotas.admission import Admission, TenantTerms
from crowseam.quotas.gateway_leases import GatewayLeases
from crowseam.quotas.known_borrowers import KnownBorrowers
from crowseam.quotas.lease_grantor import GrantorTerms, QuotaLeaseGrantor
from crowseam.quotas.lease_messages import SHARE_UNITS, QuotaLease
from crowseam.quotas.reserve import QuotaReserve
from crowseam.quotas.retry_budget import SlidingMaximum
from crowseam.quotas.unleased_allowance import unleased_allowance

STEPS = 30  # actions per schedule
KEY = "quota/0"
# In a window, rate x window + burst requests may be admitted, plus a fraction of it and a fixed number.
WINDOW_S, EXCESS_FRACTION, EXCESS_REQUESTS = 5.0, 0.1, 20.0
MAX_CLOCK_ERROR = 0.01  # largest relative clock error: two clocks differ by up to 2%
# Intervals and timeouts, as in the daemons.
TICK_S, SHARE_INTERVAL_S, HEARTBEAT_INTERVAL_S, UPDATE_INTERVAL_S, SAVE_INTERVAL_S, PRUNE_INTERVAL_S = (
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.0,
)
REPORT_INTERVAL_S, FAST_REPORT_INTERVAL_S, SILENCE_TIMEOUT_S, DRAW_TIMEOUT_S = 0.5, 0.15, 1.1, 0.06
MEMBER_COUNT_WINDOW_S, DEFAULT_MEMBER_COUNT = 60.0, 96
REACHABLE_S = 1.1  # time after its last message for which a controller counts as reachable
MAX_BORROWER_AGE_S = 9.0  # time after its last membership for which a gateway may still hold a lease
SETTLE_S, MEASURE_S = 15.0, 20.0  # time without faults before service is measured, and for which it is
MIN_SERVED_FRACTION = 0.9  # fraction of the requests within the quota that must be served
TIGHT_BURST_S = 0.1  # a burst of less than this time of its rate is exempt: see docs/quotas.md
GATEWAY_COUNTS = (3, 14, 96)  # number of gateways, by the seed
SOURCES = ("slice", "extra", "luck", "floor", "reserve")
MODEST_TENANT = "modest"  # a tenant that requests half of its rate


class Parts(msgspec.Struct, frozen=True):
    """The classes under check; mutants and tests replace them by versions without a guard."""

    lender: Callable[..., QuotaLeaseGrantor] = QuotaLeaseGrantor
    reserve: Callable[..., QuotaReserve] = QuotaReserve
    holdings: Callable[..., GatewayLeases] = GatewayLeases
    admission: Callable[..., Admission] = Admission
    role_leases: Callable[..., RoleLeases] = RoleLeases
    known: Callable[..., KnownBorrowers] = KnownBorrowers
    terms: GrantorTerms = GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05)
    duty_terms: RoleLeaseTiming = RoleLeaseTiming()


class Peak(msgspec.Struct):
    """The window closest to the limit: requests admitted and allowed, and those admitted by mechanism."""

    ratio: float = 0.0
    passed: int = 0
    allowed: float = 0.0
    gateways: int = 0
    rate: float = 0.0
    burst: float = 0.0
    seed: int = 0
    ways: dict[str, float] = {}


class QuotaReport(Report):
    """Results, and how close they came to the limits.

    `peaks` are by the number of gateways; `most` has for each mechanism the largest part of the allowed requests that
    it alone admitted in a window. `excess` is the largest number admitted beyond rate x window + burst, as a part
    of what the rule allows beyond that. `asked` and `served` count the requests of tenants within their quotas
    without faults, by the number of gateways; `tight` and `tight_served` those of tenants with a burst of less than
    TIGHT_BURST_S of their rate.
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
        """Add the results of another process."""
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


class AdmittedRequests:
    """The requests of one tenant admitted in the last window, by any gateway."""

    def __init__(self) -> None:
        self.passed: deque[tuple[float, str, float]] = deque()  # time, mechanism, part taken from the share
        self.ways = dict.fromkeys(SOURCES, 0.0)

    def add(self, at: float, source: str, part: float) -> None:
        ways, passed = self.ways, self.passed
        passed.append((at, source, part))
        ways[source] += part
        ways["extra"] += 1.0 - part
        while passed[0][0] < at - WINDOW_S:
            _, source, part = passed.popleft()
            ways[source] -= part
            ways["extra"] -= 1.0 - part


class MachineClock:
    """A machine's monotonic clock."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.speed = 1.0 + world.rng.uniform(-MAX_CLOCK_ERROR, MAX_CLOCK_ERROR) * world.drift
        self.offset_s = world.rng.uniform(100.0, 1e5)

    def __call__(self) -> float:
        return self.offset_s + self.world.now * self.speed


class SimulatedController:
    """A controller process: its role leases and borrower list, driven as in `crowseam.controller.daemon`."""

    def __init__(self, world: World, name: str, clock: MachineClock, incarnation: int) -> None:
        self.world, self.name, self.clock, self.incarnation = world, name, clock, incarnation
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
        self.session_table = SessionTable(name, f"{name}.{incarnation}")
        self.known = world.parts.known(
            disk["gateways"] if disk else (), bool(disk and disk["whole"]), now, MAX_BORROWER_AGE_S
        )
        if disk is None:
            world.disks[name] = {"holders": {}, "gateways": set(), "whole": False}
        self.grantor: QuotaLeaseGrantor | None = None
        self.reserve: QuotaReserve | None = None
        self.unconfirmed_reports: dict[str, tuple] = {}  # reports that wait until a majority knows the borrower
        self.prune_at = now
        self.heard_at: dict[str, float] = {}
        self.sent_counters: dict[str, int] = {}
        self.sessions: dict[str, int] = {}  # gateway -> its session number
        self.ver = world.ver
        self.heartbeat_at = self.update_at = now
        self.save_at = now
        self.pending_writes = 0  # writes of grants in progress
        self.inbox: list[tuple] | None = None  # messages that arrived while it is frozen

    # Incoming messages

    def receive(self, what: Callable, *args: Any) -> None:
        if self.inbox is not None:
            self.inbox.append((what, *args))
        else:
            what(self, *args)

    def thaw(self) -> None:
        inbox, self.inbox = self.inbox or [], None
        if self.world.rng.random() < 0.5:
            self.run_due_tasks()
        for what, *args in inbox:
            what(self, *args)

    def on_heartbeat(self, other: str, incarnation: str, update: Any, ver: int) -> None:
        now = self.clock()
        self.heard_at[other] = now
        self.session_table.record_contact(other, incarnation, now)
        self.ver = max(self.ver, ver)
        if update is not None and not self.session_table.apply_update(update, now):
            self.world.send_to_controller(self, other, SimulatedController.on_update_request, self.name)

    def on_update_request(self, other: str) -> None:
        self.world.send_to_controller(
            self,
            other,
            SimulatedController.on_heartbeat,
            self.name,
            self.session_table.incarnation,
            self.session_table.update_since(0, self.clock()),
            self.ver,
        )

    def on_role_message(self, other: str, message: Any) -> None:
        self._send_role_messages(self.role_leases.handle(other, message, self.clock()))
        self._grant_to_confirmed(self.clock())

    def on_open(self, gateway: str, incarnation: int, session_number: int) -> None:
        self.sessions[gateway] = session_number
        now = self.clock()
        self.session_table.open(gateway, str(incarnation), now, session_number)
        self._send_heartbeat(gateway, self.session_table.count(now), self._is_in_touch(now))

    def on_report(self, gateway: str, demand: dict[str, float], held: Any) -> None:
        now = self.clock()
        self.session_table.renew(gateway, now)
        holder = self.role_leases.holder(KEY, now)
        if holder == self.name:
            self._grant_lease(gateway, demand, held, now, lambda lease: self._send_lease(gateway, lease))
        elif holder is not None:
            self.world.send_to_controller(
                self, holder, SimulatedController.on_forwarded_report, self.name, gateway, demand, held
            )

    def on_forwarded_report(self, other: str, gateway: str, demand: dict[str, float], held: Any) -> None:
        self._grant_lease(
            gateway,
            demand,
            held,
            self.clock(),
            lambda lease: self.world.send_to_controller(
                self, other, SimulatedController.on_forwarded_lease, gateway, lease
            ),
        )

    def on_forwarded_lease(self, gateway: str, lease: QuotaLease) -> None:
        self._send_lease(gateway, lease)

    def on_draw(self, gateway: str, tenant: str, number: int, other: str) -> None:
        """Draw from the reserve for a gateway; its controller (`other`) forwards the request to the holder."""
        now = self.clock()
        holder = self.role_leases.holder(KEY, now)
        if not other and holder not in (None, self.name):
            return self.world.send_to_controller(
                self, holder, SimulatedController.on_draw, gateway, tenant, number, self.name
            )
        granted_count, wait = self._draw(tenant, now)
        if other:
            return self.world.send_to_controller(
                self, other, SimulatedController.on_draw_reply, gateway, number, granted_count, wait
            )
        self.on_draw_reply(gateway, number, granted_count, wait)

    def on_draw_reply(self, gateway: str, number: int, granted_count: int, wait: float) -> None:
        self.world.send_to_gateway(self, gateway, SimulatedGateway.on_draw_reply, number, granted_count, wait)

    # Periodic tasks and replies

    def run_due_tasks(self) -> None:
        if self.inbox is not None:
            return
        now, world = self.clock(), self.world
        live = {other for other, at in self.heard_at.items() if now - at < REACHABLE_S}
        self.known.update(now, self._is_in_touch(now))
        self._send_role_messages(self.role_leases.tick(now, live, set(world.controller_names)))
        if self.grantor is not None:
            if self.role_leases.held_fencing_token(KEY, now) != self.grantor.fencing_token:
                self.grantor = None
                self.unconfirmed_reports.clear()
            else:
                self.grantor.expected_gateways = self.session_table.count(now)
                if now >= self.prune_at:
                    self.prune_at = now + PRUNE_INTERVAL_S
                    self.role_leases.keep_borrowers(
                        KEY, self.grantor.borrowers() | self.unconfirmed_reports.keys(), now
                    )
        self._grant_to_confirmed(now)
        sends_update = now >= self.update_at
        if now >= self.heartbeat_at:
            self.heartbeat_at = now + HEARTBEAT_INTERVAL_S
            for other in world.controller_names:
                if other != self.name:
                    update = None
                    if sends_update:
                        update = self.session_table.update_since(self.sent_counters.get(other, 0), now)
                        self.sent_counters[other] = self.session_table.counter
                    world.send_to_controller(
                        self,
                        other,
                        SimulatedController.on_heartbeat,
                        self.name,
                        self.session_table.incarnation,
                        update,
                        self.ver,
                    )
            members, in_touch = self.session_table.count(now), self._is_in_touch(now)
            for gateway in self.sessions:
                self._send_heartbeat(gateway, members, in_touch)
            if sends_update:
                self.update_at = now + UPDATE_INTERVAL_S
                for gateway in self.session_table.tick(now):
                    self.sessions.pop(gateway, None)
        if now >= self.save_at:
            self._save(now)

    def _save(self, now: float) -> None:
        self.save_at = now + SAVE_INTERVAL_S
        self.known.record(self.session_table.members(now), now)
        disk = self.world.disks[self.name]
        disk["gateways"], disk["whole"] = self.known.recent(now), self.known.known(now) is not None

    def _send_heartbeat(self, gateway: str, members: int, in_touch: bool) -> None:
        self.world.send_to_gateway(self, gateway, SimulatedGateway.on_heartbeat, self.name, members, self.ver, in_touch)

    def _is_in_touch(self, now: float) -> bool:
        reachable = sum(now - at < REACHABLE_S for at in self.heard_at.values()) + 1
        return 2 * reachable > len(self.world.controller_names)

    def _send_role_messages(self, out: list[tuple[str, Any]]) -> None:
        if not self.role_leases.unsaved and not self.pending_writes:
            return self._post(out)
        grants = [each for each in out if isinstance(each[1], RoleLeaseGrant)]
        self._post([each for each in out if not isinstance(each[1], RoleLeaseGrant)])
        holders, incarnation = self.role_leases.take_unsaved(), self.incarnation
        if not grants and not holders:
            return
        self.pending_writes += 1

        def written() -> None:
            if self.world.controllers.get(self.name) is self and self.incarnation == incarnation:
                self.pending_writes -= 1
                self.world.disks[self.name]["holders"].update(holders)
                self._post(grants)

        self.world.after(self.world.rng.uniform(0.001, 0.01), written)

    def _post(self, out: list[tuple[str, Any]]) -> None:
        for to, message in out:
            self.world.send_to_controller(self, to, SimulatedController.on_role_message, self.name, message)

    def _send_lease(self, gateway: str, lease: QuotaLease) -> None:
        self.world.send_to_gateway(self, gateway, SimulatedGateway.on_lease, lease)

    def _grant_lease(
        self, gateway: str, demand: dict[str, float], held: Any, now: float, answer: Callable[[QuotaLease], None]
    ) -> None:
        fencing_token = self.role_leases.held_fencing_token(KEY, now)
        if fencing_token is None:
            return
        if held.fencing_token > fencing_token:
            self._send_role_messages(self.role_leases.observe_fencing_token(KEY, held.fencing_token, now))
            return
        if self.grantor is None or self.grantor.fencing_token != fencing_token:
            known = named = self.role_leases.earlier_borrowers(KEY)
            if named is None:
                self.known.record(self.session_table.members(now), now)
                known = self.known.known(now)
            self.role_leases.start_borrower_list(KEY, named or (), now, is_partial=named is None)
            self.unconfirmed_reports.clear()
            self.grantor = self.world.parts.lender(
                fencing_token,
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
        self.unconfirmed_reports[gateway] = demand, held, answer
        if not self.role_leases.is_borrower_confirmed(KEY, gateway):
            self._send_role_messages(self.role_leases.announce_borrowers(KEY, [gateway], now))
        self._grant_to_confirmed(now)

    def _grant_to_confirmed(self, now: float) -> None:
        if self.grantor is None or self.role_leases.held_fencing_token(KEY, now) != self.grantor.fencing_token:
            return
        for gateway in [
            gateway for gateway in self.unconfirmed_reports if self.role_leases.is_borrower_confirmed(KEY, gateway)
        ]:
            demand, held, answer = self.unconfirmed_reports.pop(gateway)
            if (lease := self.grantor.report(gateway, demand, held, now)) is not None:
                answer(lease)

    def _draw(self, tenant: str, now: float) -> tuple[int, float]:
        if self.grantor is None or self.role_leases.held_fencing_token(KEY, now) != self.grantor.fencing_token:
            return 0, 0.3
        terms, part = self.world.versions[self.ver][tenant], self.grantor.reserve(tenant)
        return self.reserve.draw(tenant, part * terms.rate, part * terms.burst, 1, now)


class SimulatedGateway:
    """A gateway process: its leases and buckets, driven as in `crowseam.gateway`."""

    def __init__(self, world: World, name: str, clock: MachineClock, incarnation: int) -> None:
        self.world, self.name, self.clock, self.incarnation = world, name, clock, incarnation
        now = clock()
        self.leases = world.parts.holdings(incarnation)
        self.admission = world.parts.admission(now, Random(world.rng.random()))
        self.started_at = now
        self.member_counts = SlidingMaximum(MEMBER_COUNT_WINDOW_S)
        self.members = self.session_number = 0
        self.ver = -1
        self.controller_name = ""
        self.heard_at = self.report_at = now
        self.out_of_touch_since: float | None = None
        self.draw_retry_at: dict[str, float] = {}
        self.pending_draws: dict[int, tuple[str, bool, bool]] = {}
        self.last_draw_number = 0
        self.highest_fencing_token = 0
        self.is_frozen = False
        self.share_levels: dict[str, tuple[float, float]] = {}  # tenant -> (level without the extra, time)

    # Session with a controller

    def on_heartbeat(self, controller: str, members: int, ver: int, in_touch: bool) -> None:
        if controller != self.controller_name:
            return
        now = self.clock()
        self.heard_at, self.members = now, members
        if in_touch:
            self.out_of_touch_since = None
        elif self.out_of_touch_since is None:
            self.out_of_touch_since = now
        if ver > self.ver:
            self.ver = ver
            self.admission.configure(self.world.versions[ver], now)
            self.update_shares(now)

    def on_lease(self, lease: QuotaLease) -> None:
        now, before = self.clock(), (self.leases.fencing_token, self.leases._epoch)
        again = self.leases.apply(lease, now)
        if (
            self.leases.fencing_token,
            self.leases._epoch,
        ) != before and lease.fencing_token < self.highest_fencing_token:
            raise Violation(f"{self.name} obeys fence {lease.fencing_token} after {self.highest_fencing_token}")
        self.highest_fencing_token = max(self.highest_fencing_token, self.leases.fencing_token)
        if again:
            self.send_report(now)

    def send_report(self, now: float) -> None:
        if self.controller_name:
            demand = {name: round(rate, 3) for name, rate in self.admission.demand(now).items()}
            self.world.send_from_gateway(
                self, SimulatedController.on_report, self.name, demand, self.leases.report(now)
            )

    def run_due_tasks(self) -> None:
        """Run the tasks that are due; the daemon's timers fire slightly apart."""
        now = self.clock()
        if self.controller_name and (
            now - self.heard_at > SILENCE_TIMEOUT_S
            or self.out_of_touch_since is not None
            and now - self.out_of_touch_since > 0.8
        ):
            self.controller_name = ""
        if not self.controller_name and (candidates := self.world.reachable_controllers(self.name)):
            self.controller_name, self.session_number = self.world.rng.choice(candidates), self.session_number + 1
            self.heard_at, self.out_of_touch_since = now, None
            self.world.send_from_gateway(
                self, SimulatedController.on_open, self.name, self.incarnation, self.session_number
            )
        if now >= self.report_at:
            self.send_report(now)
            self.report_at = now + (
                REPORT_INTERVAL_S if self.leases.remaining_s(now) > 0.0 else FAST_REPORT_INTERVAL_S
            ) * (self.world.rng.uniform(0.9, 1.1))
        self.update_shares(now)

    def update_shares(self, now: float) -> None:
        if self.ver < 0:
            return
        if self.members:
            self.member_counts.observe(self.members, now)
        gateways = self.member_counts.get(now, DEFAULT_MEMBER_COUNT)
        for name, terms in self.world.versions[self.ver].items():
            floor, extra = _allowance_without_share(terms.rate, terms.burst, gateways)
            self.admission.set_share(
                name,
                self.leases.share(name, now),
                now,
                floor,
                extra=extra,
                expires_at=now + self.leases.remaining_s(now),
            )

    # Requests

    def request(self, tenant: str, owed: bool = False, retry_after_s: float | None = None) -> None:
        """Handle a request; `owed`: it counts in the measurement, as it is within the quota without faults."""
        if self.ver < 0:
            return
        now, admission = self.clock(), self.admission
        bucket = admission.tenants[tenant]
        bucket.fill(now)
        grants_before, depth, share_level = (
            bucket.reserve_grants,
            bucket.depth(),
            self._share_level(tenant, bucket, now),
        )
        if admission.admit(tenant, 1.0, now, is_recheck=retry_after_s is not None).is_admitted:
            part = 1.0
            if bucket.reserve_grants < grants_before:
                source = "reserve"
            elif bucket.share is None:
                source = "floor"
            elif depth < 1.0:
                source = "luck"
            else:
                source, part = "slice", min(1.0, share_level)
                self.share_levels[tenant] = (share_level - part, now)
            if self.world.rng.random() < 0.01:  # it reaches no server, and is refunded
                self.world.after(0.1, self._refund, tenant, self.incarnation)
            else:
                self.world.record_admitted(tenant, source, part)
            self.world.served += owed
        elif retry_after_s is not None:
            self.draw_retry_at[tenant] = now + retry_after_s
        elif now >= self.draw_retry_at.get(tenant, 0.0) and self.controller_name:
            self.last_draw_number += 1
            self.pending_draws[self.last_draw_number] = (tenant, not owed and self.world.rng.random() < 0.02, owed)
            self.world.send_from_gateway(
                self, SimulatedController.on_draw, self.name, tenant, self.last_draw_number, ""
            )
            self.world.after(DRAW_TIMEOUT_S, self.on_draw_reply, self.last_draw_number, 0, DRAW_TIMEOUT_S)

    def on_draw_reply(self, number: int, granted_count: int, wait: float) -> None:
        if (
            number not in self.pending_draws
            or self.is_frozen
            or self.world.gateway_processes.get(self.name) is not self
        ):
            return
        tenant, is_abandoned, owed = self.pending_draws.pop(number)
        if granted_count:
            self.admission.add_reserve_grant(tenant, granted_count)
        if not is_abandoned:
            self.request(tenant, owed, 0.0 if granted_count else wait)

    def _share_level(self, tenant: str, bucket: Any, now: float) -> float:
        if bucket.share is None:
            return 0.0
        level, at = self.share_levels.get(tenant, (0.0, self.started_at))
        return min(bucket.terms.burst * bucket.share, level + bucket.fill_rate() * max(0.0, now - at))

    def _refund(self, tenant: str, incarnation: int) -> None:
        if self.world.gateway_processes.get(self.name) is self and not self.is_frozen:
            self.admission.refund(tenant, self.clock())


class World(EventSimulation):
    """Controllers and gateways, the links between them, and the admitted requests."""

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
        self.version_used_at: dict[int, float] = {0: 0.0}  # version -> when a gateway last used it
        self.controller_names = [f"r{number}" for number in range(voters)]
        self.gateways = [f"d{number}" for number in range(gateways)]
        self.disks: dict[str, Any] = {
            name: {"holders": {}, "gateways": set(), "whole": True} for name in self.controller_names
        }
        self.controllers: dict[str, SimulatedController] = {}
        self.gateway_processes: dict[str, SimulatedGateway] = {}
        self.partitioned_until: dict[tuple[str, str], float] = {}  # (machine, machine), sorted -> end of the partition
        self.start_count = 0
        self.admitted = {name: AdmittedRequests() for name in tenants}
        self.demand: dict[tuple[str, str], float] = {}  # (gateway, tenant) -> requests per second
        self.fractional_requests: dict[tuple[str, str], float] = {}
        self.asked = self.served = 0
        self.is_measuring = False
        self.reference_bucket = (0.0, 0.0)
        self.clocks = {name: MachineClock(self) for name in self.controller_names + self.gateways}
        for name in self.controller_names:
            self.start_controller(name)
        for name in self.gateways:
            self.start_gateway(name)
        self._check_invariants_periodically()

    # Machines

    def start_controller(self, name: str) -> None:
        if name in self.controllers:
            return
        self.start_count += 1
        controller = self.controllers[name] = SimulatedController(self, name, self.clocks[name], self.start_count)
        self._tick_controller(controller)

    def _tick_controller(self, controller: SimulatedController) -> None:
        if self.controllers.get(controller.name) is controller:
            controller.run_due_tasks()
            self.after(TICK_S, self._tick_controller, controller)

    def freeze_controller(self, name: str, span_s: float) -> None:
        """Freeze a controller; incoming messages wait."""
        controller = self.controllers.get(name)
        if controller is not None and controller.inbox is None:
            controller.inbox = []
            self.after(span_s, self._thaw_controller, controller)

    def _thaw_controller(self, controller: SimulatedController) -> None:
        if self.controllers.get(controller.name) is controller:
            controller.thaw()

    def start_gateway(self, name: str) -> None:
        if name in self.gateway_processes:
            return
        self.start_count += 1
        gateway_process = self.gateway_processes[name] = SimulatedGateway(
            self, name, self.clocks[name], self.start_count
        )
        self.after(self.rng.uniform(0.0, SHARE_INTERVAL_S), self._tick_gateway, gateway_process)

    def _tick_gateway(self, gateway_process: SimulatedGateway) -> None:
        if self.gateway_processes.get(gateway_process.name) is not gateway_process:
            return
        if not gateway_process.is_frozen:
            gateway_process.run_due_tasks()
            if gateway_process.ver >= 0:
                self.version_used_at[gateway_process.ver] = self.now
            for tenant in self.versions[0]:
                requests = self.fractional_requests.get((gateway_process.name, tenant), 0.0)
                requests += self.demand.get((gateway_process.name, tenant), 0.0) * SHARE_INTERVAL_S
                for _ in range(int(requests)):
                    if self.is_measuring:
                        self.after(self.rng.uniform(0.0, SHARE_INTERVAL_S), self.request, gateway_process, tenant)
                    else:
                        self.request(gateway_process, tenant)
                self.fractional_requests[gateway_process.name, tenant] = requests - int(requests)
        self.after(SHARE_INTERVAL_S, self._tick_gateway, gateway_process)

    def freeze_gateway(self, name: str, span_s: float) -> None:
        """Freeze a gateway; when it resumes, it first handles the requests that have arrived meanwhile."""
        gateway_process = self.gateway_processes.get(name)
        if gateway_process is not None and not gateway_process.is_frozen:
            gateway_process.is_frozen = True
            self.after(span_s, self._thaw_gateway, gateway_process)

    def _thaw_gateway(self, gateway_process: SimulatedGateway) -> None:
        gateway_process.is_frozen = False
        if self.gateway_processes.get(gateway_process.name) is gateway_process:
            if gateway_process.ver >= 0:
                self.version_used_at[gateway_process.ver] = self.now
            for tenant in self.versions[0]:
                for _ in range(int(min(400, 5 * self.demand.get((gateway_process.name, tenant), 0.0)))):
                    self.request(gateway_process, tenant)

    # Links

    def is_open(self, one: str, other: str) -> bool:
        return self.now >= self.partitioned_until.get((min(one, other), max(one, other)), 0.0)

    def partition(self, one: str, other: str, span_s: float) -> None:
        pair = (min(one, other), max(one, other))
        self.partitioned_until[pair] = max(self.partitioned_until.get(pair, 0.0), self.now + span_s)

    def reachable_controllers(self, gateway: str) -> list[str]:
        """Return the controllers that accept a connection."""
        return [
            name
            for name in self.controller_names
            if self.is_open(gateway, name) and name in self.controllers and self.controllers[name].inbox is None
        ]

    def send_to_controller(self, controller: SimulatedController, other: str, what: Callable, *args: Any) -> None:
        if other == controller.name:
            return what(controller, *args)
        to = self.controllers.get(other)
        if to is not None:
            self.transmit(self._deliver_to_controller, controller.name, to, what, args)

    def send_from_gateway(self, gateway_process: SimulatedGateway, what: Callable, *args: Any) -> None:
        to = self.controllers.get(gateway_process.controller_name)
        if to is not None:
            self.transmit(self._deliver_to_controller, gateway_process.name, to, what, args)

    def _deliver_to_controller(self, sender: str, to: SimulatedController, what: Callable, args: tuple) -> None:
        if self.controllers.get(to.name) is to and self.is_open(sender, to.name):
            to.receive(what, *args)

    def send_to_gateway(self, controller: SimulatedController, gateway: str, what: Callable, *args: Any) -> None:
        if gateway in controller.sessions:
            self.transmit(self._deliver_to_gateway, controller.name, gateway, what, args)

    def _deliver_to_gateway(self, sender: str, gateway: str, what: Callable, args: tuple) -> None:
        gateway_process = self.gateway_processes.get(gateway)
        if gateway_process is not None and not gateway_process.is_frozen and self.is_open(sender, gateway):
            what(gateway_process, *args)

    # Admitted requests

    def request(self, gateway_process: SimulatedGateway, tenant: str) -> None:
        owed = False
        if self.is_measuring and tenant == MODEST_TENANT:
            # The requests owed are those that a single bucket for all gateways would admit.
            terms, (level, at) = self.versions[self.ver][MODEST_TENANT], self.reference_bucket
            level = min(max(1.0, terms.burst), level + terms.rate * (self.now - at))
            owed = level >= 1.0
            self.reference_bucket = (level - owed, self.now)
            self.asked += owed
        gateway_process.request(tenant, owed)

    def record_admitted(self, tenant: str, source: str, part: float) -> None:
        """Record an admitted request, `part` of it taken from the share and the rest from the extra; check the rule."""
        admitted_requests = self.admitted[tenant]
        admitted_requests.add(self.now, source, part)
        terms = [self.versions[ver][tenant] for ver, at in self.version_used_at.items() if at >= self.now - WINDOW_S]
        quota = max(each.rate * WINDOW_S + each.burst for each in terms)
        spare = EXCESS_FRACTION * quota + EXCESS_REQUESTS
        count, report, gateways = len(admitted_requests.passed), self.report, len(self.gateways)
        ratio = count / (quota + spare)
        for way, passed in admitted_requests.ways.items():
            report.most[way] = max(report.most.get(way, 0.0), passed / (quota + spare))
        report.excess[gateways] = max(report.excess.get(gateways, 0.0), (count - quota) / spare)
        if ratio > report.peaks.setdefault(gateways, Peak()).ratio:
            last = max(terms, key=lambda each: each.rate * WINDOW_S + each.burst)
            ways = {way: round(passed, 1) for way, passed in admitted_requests.ways.items() if passed > 0.05}
            report.peaks[gateways] = Peak(ratio, count, quota + spare, gateways, last.rate, last.burst, self.seed, ways)
        if count > quota + spare:
            by_source = ", ".join(
                f"{way} {passed:.1f}" for way, passed in admitted_requests.ways.items() if passed > 0.05
            )
            raise Violation(
                f"{gateways} gateways admit {count} requests of {tenant} in {WINDOW_S:g} s, the rule allows "
                f"{quota + spare:.1f}: {by_source}"
            )

    # Invariants

    def _check_invariants_periodically(self) -> None:
        self.check_invariants()
        self.after(TICK_S, self._check_invariants_periodically)

    def check_invariants(self) -> None:
        holders = [
            name
            for name, controller in self.controllers.items()
            if controller.role_leases.held_fencing_token(KEY, controller.clock()) is not None
        ]
        if len(holders) > 1:
            raise Violation(f"{' and '.join(holders)} hold the duty")
        sums: dict[str, int] = {}
        for gateway_process in self.gateway_processes.values():
            now = gateway_process.clock()
            for tenant in self.admitted:
                share = gateway_process.leases.share(tenant, now)
                if share:
                    sums[tenant] = sums.get(tenant, 0) + round(share * SHARE_UNITS)
        grantor = self.controllers[holders[0]].grantor if holders else None
        if grantor is not None and grantor.fencing_token != self.controllers[holders[0]].role_leases.held_fencing_token(
            KEY, self.controllers[holders[0]].clock()
        ):
            grantor = None
        for tenant, used in sums.items():
            self.report.shares = max(self.report.shares, used / SHARE_UNITS)
            kept = 0 if grantor is None else round(grantor.reserve(tenant) * SHARE_UNITS)
            if used + kept > SHARE_UNITS:
                raise Violation(
                    f"shares of {tenant} in use sum to {used / SHARE_UNITS:.4f}, and the grantor keeps "
                    f"{kept / SHARE_UNITS:.4f}"
                )


class _Schedule:
    """One random schedule: `steps` actions of clients and operators, and faults; then service is measured."""

    def __init__(self, seed: int, steps: int, parts: Parts, report: QuotaReport, gateways: int | None) -> None:
        rng = Random(f"lending {seed}")
        gateways = gateways or GATEWAY_COUNTS[seed % len(GATEWAY_COUNTS)]
        tenants = {name: _terms(rng) for name in ("small", "large")}
        tenants["small"] = TenantTerms(rng.choice((0.5, 0.5, 1.0, 2.0)), rng.choice((1.0, 2.0)))
        tenants[MODEST_TENANT] = _terms(rng)
        self.steps, self.report = steps, report
        self.world = World(seed, gateways, rng.choice((3, 3, 5)), tenants, parts, report)

    def play(self) -> None:
        world, rng = self.world, self.world.rng
        world.run_until(3.0)
        world.loss_rate, world.duplicate_rate, world.delay_rate = (rng.choice((0.0, 0.01, 0.05)) for _ in range(3))
        for _ in range(self.steps):
            rng.choice(self._ACTS)(self)
            world.run_until(world.now + rng.choice((0.01, 0.1, 0.5, 1.5, 4.0)))
        world.clear_link_faults()
        world.partitioned_until.clear()
        for name in world.controller_names:
            world.start_controller(name)
        for name in world.gateways:
            world.start_gateway(name)
        self._set_modest_demand(world.versions[world.ver][MODEST_TENANT].rate * 0.5)
        world.run_until(world.now + SETTLE_S)
        world.is_measuring = True
        world.run_until(world.now + MEASURE_S)
        world.is_measuring = False
        gateways, report, terms = len(world.gateways), self.report, world.versions[world.ver][MODEST_TENANT]
        if terms.burst < TIGHT_BURST_S * terms.rate:
            report.tight[gateways] = report.tight.get(gateways, 0) + world.asked
            report.tight_served[gateways] = report.tight_served.get(gateways, 0) + world.served
            return
        report.asked[gateways] = report.asked.get(gateways, 0) + world.asked
        report.served[gateways] = report.served.get(gateways, 0) + world.served
        if world.asked >= 20 and world.served < MIN_SERVED_FRACTION * world.asked:
            raise Violation(
                f"without faults {world.served} of {world.asked} requests within a quota of "
                f"{terms.rate:g}/s and {terms.burst:g} are admitted at {gateways} gateways"
            )

    # Clients

    def _set_demand(self, tenant: str, rates: dict[str, float]) -> None:
        for name in self.world.gateways:
            self.world.demand[name, tenant] = rates.get(name, 0.0)
            self.world.fractional_requests[name, tenant] = self.world.rng.random()

    def _set_modest_demand(self, rate: float) -> None:
        self._set_demand(MODEST_TENANT, dict.fromkeys(self.world.gateways, rate / len(self.world.gateways)))

    def _overload(self) -> None:
        """Have a tenant exceed its quota, at once and at every gateway."""
        world = self.world
        tenant = world.rng.choice(list(world.admitted))
        terms, gateways = world.versions[world.ver][tenant], len(world.gateways)
        each = 2.0 * terms.rate / gateways + 1.0
        self._set_demand(tenant, dict.fromkeys(world.gateways, each))
        for gateway_process in list(world.gateway_processes.values()):
            if not gateway_process.is_frozen:
                for _ in range(int(1.5 * terms.burst / gateways) + 3):
                    world.request(gateway_process, tenant)

    def _concentrate_demand(self) -> None:
        """Direct all requests of a tenant to one gateway, or a few."""
        world = self.world
        tenant = world.rng.choice(list(world.admitted))
        terms = world.versions[world.ver][tenant]
        some = world.rng.sample(world.gateways, world.rng.choice((1, 1, 2, 3)))
        self._set_demand(tenant, dict.fromkeys(some, 2.0 * terms.rate + 1.0))

    def _stop_demand(self) -> None:
        self._set_demand(self.world.rng.choice(list(self.world.admitted)), {})

    def _idle(self) -> None:
        """Stop all demand, so that buckets fill."""
        for tenant in self.world.admitted:
            self._set_demand(tenant, {})
        self.world.run_until(self.world.now + self.world.rng.choice((3.0, 10.0)))

    def _change_quota(self) -> None:
        world = self.world
        tenant = world.rng.choice(list(world.admitted))
        terms = TenantTerms(0.5, 1.0) if world.rng.random() < 0.4 else _terms(world.rng)
        world.versions.append({**world.versions[-1], tenant: terms})
        world.ver += 1
        for controller in world.controllers.values():
            if world.rng.random() < 0.8:
                world.after(world.rng.uniform(0.0, 0.3), controller.on_heartbeat, controller.name, "", None, world.ver)

    # Faults

    def _sample(self, names: list[str]) -> list[str]:
        count = self.world.rng.choice((1, 1, 2, len(names) // 2, len(names) - 1, len(names)))
        return self.world.rng.sample(names, max(1, min(count, len(names))))

    def _partition_gateways(self) -> None:
        world = self.world
        span_s = world.rng.choice((0.3, 2.0, 6.0, 9.0, 15.0))
        for gateway in self._sample(world.gateways):
            for name in world.controller_names:
                world.partition(gateway, name, span_s)

    def _partition_controllers(self) -> None:
        world = self.world
        one, span_s = world.rng.choice(world.controller_names), world.rng.choice((0.3, 2.0, 5.0, 12.0))
        for other in world.controller_names:
            if other != one and world.rng.random() < 0.8:
                world.partition(one, other, span_s)

    def _restart_gateways(self) -> None:
        world = self.world
        for gateway in self._sample(world.gateways)[:14]:
            if world.gateway_processes.pop(gateway, None) is not None:
                world.after(world.rng.choice((0.02, 0.5, 4.0, 12.0)), world.start_gateway, gateway)

    def _freeze_gateway(self) -> None:
        self.world.freeze_gateway(
            self.world.rng.choice(self.world.gateways), self.world.rng.choice((0.3, 3.0, 9.0, 15.0))
        )

    def _restart_controller(self) -> None:
        self._restart(self.world.rng.choice(self.world.controller_names), self.world.rng.random() < 0.3)

    def _restart_all_controllers(self) -> None:
        for name in self.world.controller_names:
            self._restart(name, False)

    def _restart(self, name: str, wiped: bool) -> None:
        """Stop a controller and start it later, possibly with an empty disk."""
        world = self.world
        if world.controllers.pop(name, None) is not None:
            if wiped:
                world.disks[name] = None
            world.after(world.rng.choice((0.1, 1.0, 4.0, 12.0, 30.0)), world.start_controller, name)

    def _lose_holder_and_borrower(self) -> None:
        """Lose the holder together with a gateway that has just borrowed through a partitioned controller."""
        world, rng = self.world, self.world.rng
        holders = [name for name, controller in world.controllers.items() if controller.grantor is not None]
        others = [name for name in world.controller_names if name not in holders]
        gateway, at = rng.choice(world.gateways), rng.choice(others)
        for other in rng.sample(others, rng.choice((1, len(others) // 2))):
            if other != at:
                world.partition(at, other, 20.0)
        for name in world.controller_names:
            if name != at:
                world.partition(gateway, name, 30.0)
        if rng.random() < 0.5:
            world.gateway_processes.pop(gateway, None)
            world.run_until(world.now + rng.choice((0.5, 10.0)))
            world.start_gateway(gateway)
        self._set_demand("large", {gateway: 2.0 * world.versions[world.ver]["large"].rate + 1.0})
        world.run_until(world.now + rng.choice((0.02, 0.1, 0.3, 1.0, 4.0)))
        for name in holders:
            self._restart(name, False)
        world.after(rng.choice((0.0, 0.01, 0.2, 1.0)), world.partition, gateway, at, 20.0)
        self._overload()

    def _freeze_controller(self) -> None:
        rng = self.world.rng
        self.world.freeze_controller(rng.choice(self.world.controller_names), rng.choice((0.3, 1.4, 3.0, 12.0)))

    _ACTS = (
        _overload,
        _overload,
        _overload,
        _concentrate_demand,
        _concentrate_demand,
        _stop_demand,
        _idle,
        _change_quota,
        _partition_gateways,
        _partition_gateways,
        _partition_controllers,
        _restart_gateways,
        _freeze_gateway,
        _restart_controller,
        _restart_controller,
        _restart_all_controllers,
        _freeze_controller,
        _freeze_controller,
        _lose_holder_and_borrower,
        _lose_holder_and_borrower,
    )


@lru_cache
def _allowance_without_share(rate: float, burst: float, gateways: int) -> tuple[float, float]:
    """Return what one of `gateways` may admit without a lease under the rule: (floor, extra)."""
    return unleased_allowance(rate, burst, WINDOW_S, EXCESS_FRACTION, EXCESS_REQUESTS, gateways)


def _terms(rng: Random) -> TenantTerms:
    rate = rng.choice((0.5, 2.0, 8.0, 20.0, 60.0, 200.0))
    return TenantTerms(rate, rng.choice((1.0, max(1.0, rate), 2.0 * rate + 1.0)))


def run(seeds: Iterable[int], steps: int = 30, parts: Parts | None = None, gateways: int | None = None) -> QuotaReport:
    """Run one random schedule of `steps` actions for each seed; `gateways` 0 or None: by the seed."""
    report = QuotaReport()
    play(seeds, lambda seed: _Schedule(seed, steps, parts or Parts(), report, gateways), report)
    return report


# Mutants: the code without one of its guards


class _ReleasesUnconfirmed(QuotaLeaseGrantor):
    """Treats a lowered share as released before the gateway has confirmed the new lease."""

    def _update_in_use(self, known: Any, now: float) -> None:
        known.leases = known.leases[-1:]
        super()._update_in_use(known, now)


class AcceptsAnyFencingToken(GatewayLeases):
    """Accepts a lower fencing token than one it has accepted."""

    def apply(self, lease: QuotaLease, now: float) -> bool:
        """Apply a lease without comparing fencing tokens."""
        if lease.fencing_token < self.fencing_token:
            self.fencing_token, self._epoch = lease.fencing_token, -1
        return super().apply(lease, now)


class _GrantsToSeveral(RoleLeaseVoter):
    def on_request(self, sender: str, request: Any, now: float) -> Any:
        self.roles[request.key].until = float("-inf")
        return super().on_request(sender, request, now)


class _RoleLeasesGrantingToSeveral(RoleLeases):
    voter_type = _GrantsToSeveral


class _OversizedExtra(Admission):
    def set_share(
        self, tenant: str, share: Any, now: float, floor: float = 0.0, extra: float = 0.0, expires_at: float = 0.0
    ) -> None:
        super().set_share(tenant, share, now, floor, extra=extra + 40.0, expires_at=expires_at)


class _UnlimitedReserve(QuotaReserve):
    def draw(self, tenant: str, rate: float, burst: float, count: int, now: float) -> tuple[int, float]:
        return count, 0.0


class WithoutBorrowerLists(RoleLeases):
    """No borrower lists: a new grantor knows only the borrowers that its own controller has seen."""

    def earlier_borrowers(self, key: str) -> None:
        """Return no list."""

    def is_borrower_confirmed(self, key: str, name: str) -> bool:
        """Require no confirmation."""
        return True


class LendsToUnconfirmed(RoleLeases):
    """Grants a lease before a majority has recorded the borrower."""

    def is_borrower_confirmed(self, key: str, name: str) -> bool:
        """Require no majority."""
        return True


class _IgnoresIncompleteLists(RoleLeaseVoter):
    def _update_borrowers(self, role: Any, request: Any, now: float) -> Any:
        role.incomplete_until = float("-inf")
        return super()._update_borrowers(role, request, now)


class _TrustsIncompleteVoters(RoleLeases):
    voter_type = _IgnoresIncompleteLists


class _TrustsAnyVoter(RoleLeases):
    def earlier_borrowers(self, key: str) -> set[str] | None:
        known = [names for names in self._claims[key].borrowers.earlier_by_voter.values() if names is not None]
        return {name for names in known for name in names} if known else None


class _PrunesEarly(RoleLeases):
    def keep_borrowers(self, key: str, names: Any, now: float) -> None:
        super().keep_borrowers(key, (), now)


class _DropsEarlierBorrowers(RoleLeases):
    def start_borrower_list(self, key: str, names: Any, now: float, is_partial: bool = False) -> None:
        super().start_borrower_list(key, (), now, is_partial)


class _IgnoresPartialLists(RoleLeases):
    def start_borrower_list(self, key: str, names: Any, now: float, is_partial: bool = False) -> None:
        super().start_borrower_list(key, names, now)


def _mutant(guard: str, seed: int | None = None, why: str = "", gateways: int = 3, **parts: Any) -> Mutant:
    return Mutant(guard, lambda seeds: run(seeds, STEPS, Parts(**parts), gateways), seed, why)


MUTANTS = (
    _mutant("the wait until a lowering is confirmed", 22, lender=_ReleasesUnconfirmed),
    _mutant("one holder at a voter at a time", 0, role_leases=_RoleLeasesGrantingToSeveral),
    _mutant("the voters' margin", 3, duty_terms=RoleLeaseTiming(margin_s=-0.2)),
    _mutant("the fence at the gateway", 22, holdings=AcceptsAnyFencingToken),
    _mutant("the bound of the extra", 10, admission=_OversizedExtra),
    _mutant("the bound of the reserve", 0, reserve=_UnlimitedReserve),
    _mutant("borrowers named to the next grantor", 9, role_leases=WithoutBorrowerLists),
    _mutant("the majority that has a borrower before it is lent to", 2, role_leases=LendsToUnconfirmed),
    _mutant("blindness of a voter that has started", 3, role_leases=_TrustsIncompleteVoters),
    _mutant("the majority that tells of borrowers", 8, role_leases=_TrustsAnyVoter),
    _mutant("the lease's end before a borrower is struck", 1, role_leases=_PrunesEarly),
    _mutant("the borrowers of the hand before in the new list", 31, role_leases=_DropsEarlierBorrowers),
    _mutant(
        "blindness of voters that take a list with gaps",
        why="by hand: test_role_leases.BorrowersTest; "
        "takes two changes of hands within 9 s of a start, and a gateway cut off through both",
        role_leases=_IgnoresPartialLists,
    ),
)


def metrics(report: QuotaReport) -> list[str]:
    """Return the report's figures as lines of text."""
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
