"""Leases of the tenants' quotas: granted under the roles held here, forwarded to their holders otherwise."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from crowseam import logs
from crowseam.configuration.specs import TenantSpec
from crowseam.controller.durable_state import ROLE_KEY_PREFIX, ControllerStore
from crowseam.controller.gateway_sessions import GatewaySession, GatewaySessions
from crowseam.controller.peers import Peers
from crowseam.controller.state_machine import ConfigurationStateMachine
from crowseam.membership import role_messages
from crowseam.membership.role_leases import RoleLeases
from crowseam.membership.role_messages import Outgoing, RoleLeaseGrant
from crowseam.membership.sessions import SessionTable
from crowseam.quotas.lease_grantor import GrantorTerms, QuotaLeaseGrantor
from crowseam.quotas.lease_messages import LeaseReport, QuotaLease
from crowseam.quotas.reserve import QuotaReserve
from crowseam.quotas.shards import ROLE_KEYS, shard_of
from crowseam.storage.records import Note
from crowseam.transport.messages import (
    ForwardedLease,
    ForwardedLeaseReport,
    GatewayReport,
    LeaseUpdate,
    ReserveDraw,
    ReserveDrawReply,
)

BORROWER_SWEEP_INTERVAL_S = 1.0  # between two looks for gateways that borrow no more
NOT_HOLDER_RETRY_S = 0.12  # after which a gateway may draw again that came to a controller without the reserve
TERMS = GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05)
_UNKNOWN = -1  # in the log


class _WaitingReport(NamedTuple):
    """A report that waits until a majority has its gateway among the borrowers."""

    demand: dict[str, float]
    held: LeaseReport
    answer: Callable[[QuotaLease], None]


class LeaseService:
    """A grantor and a reserve for each role held here; a gateway's report goes to whoever holds the role.

    A report of a gateway that no majority of the voters has as a borrower waits until one has. Times are
    seconds of the steady clock, rates requests a second.
    """

    def __init__(
        self,
        role_leases: RoleLeases,
        machine: ConfigurationStateMachine,
        session_table: SessionTable,
        gateways: GatewaySessions,
        peers: Peers,
        store: ControllerStore,
    ) -> None:
        self.role_leases = role_leases
        self.machine = machine
        self.session_table = session_table
        self.gateways = gateways
        self.peers = peers
        self.store = store
        self.grantors: dict[str, QuotaLeaseGrantor] = {}
        self.reserves: dict[str, QuotaReserve] = {}
        self._pending_writes = 0  # of grants of roles
        self._waiting: dict[str, dict[str, _WaitingReport]] = {}  # by role and gateway
        self._swept_at = 0.0
        self._limited: dict[str, list[str]] = {}  # tenants with a quota, by role
        self.sort_tenants()

    def sort_tenants(self) -> None:
        """Find the tenants of each role anew; to be called with each new configuration."""
        self._limited = {key: [] for key in ROLE_KEYS}
        for (_, name), item in self.machine.config.items.items():
            if isinstance(item.spec, TenantSpec) and item.spec.rate_per_s:
                self._limited[shard_of(name)].append(name)

    # Roles

    def tick(self, now: float, live: set[str], voters: set[str]) -> None:
        """Take, renew and give up roles; to be called some times a second."""
        self._carry_out(self.role_leases.tick(now, live, voters))
        gateways = self.session_table.count(now) if self.grantors else 0
        is_sweep_due = now - self._swept_at >= BORROWER_SWEEP_INTERVAL_S
        if is_sweep_due:
            self._swept_at = now
        for key, grantor in list(self.grantors.items()):
            if self.role_leases.held_fencing_token(key, now) != grantor.fencing_token:
                del self.grantors[key]
                self._waiting.pop(key, None)
                logs.say("role_released", key=key, fencing_token=grantor.fencing_token)
                continue
            grantor.expected_gateways = gateways
            if is_sweep_due:
                borrowers = grantor.borrowers() | self._waiting.get(key, {}).keys()
                self.role_leases.keep_borrowers(key, borrowers, now)
        self._answer_confirmed(now)

    def learn(self, fencing_tokens: Mapping[str, int]) -> set[str]:
        """Take over the fencing tokens that another voter has seen; returns the roles that are to be saved."""
        self.role_leases.adopt_fencing_tokens(fencing_tokens)
        return set(self.role_leases.take_unsaved())

    def notes(self, keys: set[str]) -> list[Note]:
        """Return what is to be saved of these roles, as they are known at this moment."""
        notes = {key: self.role_leases.note(key) for key in sorted(keys)}
        return [Note(ROLE_KEY_PREFIX + key, note.encode()) for key, note in notes.items() if note]

    def on_role_message(self, addr: str, message: role_messages.Message, now: float) -> None:
        """Take another controller's message about roles."""
        self._carry_out(self.role_leases.handle(addr, message, now))
        if self._waiting:
            self._answer_confirmed(now)

    def _carry_out(self, outgoing: list[Outgoing]) -> None:
        """Send messages about roles; a grant only once all that was granted before is on disk."""
        if not self.role_leases.unsaved and not self._pending_writes:
            self.peers.post_all(outgoing)
            return
        grants = [each for each in outgoing if isinstance(each.message, RoleLeaseGrant)]
        self.peers.post_all([each for each in outgoing if not isinstance(each.message, RoleLeaseGrant)])
        notes = self.role_leases.take_unsaved()
        if not grants and not notes:
            return

        def done(ok: bool) -> None:
            self._pending_writes -= 1
            if ok:
                self.peers.post_all(grants)
            else:
                self.role_leases.write_failed(notes)

        self._pending_writes += 1
        self.store.write([Note(ROLE_KEY_PREFIX + key, note.encode()) for key, note in notes.items()], done)

    # Leases

    def on_gateway_report(self, session: GatewaySession, report: GatewayReport, now: float) -> None:
        """Take a gateway's demand and what it holds; its leases come from here, or from the holders of the roles."""
        for key, held in report.held.items():
            if key not in ROLE_KEYS:
                continue
            demand = {tenant: rate for tenant, rate in report.demand.items() if shard_of(tenant) == key}
            holder = self.role_leases.holder(key, now)
            if holder == self.peers.me:
                self._report(session.gateway, key, _WaitingReport(demand, held, _sender_to(session, key)), now)
            elif holder is not None:
                self.peers.post(holder, ForwardedLeaseReport(session.gateway, key, demand, held))

    def on_forwarded_report(self, addr: str, forwarded: ForwardedLeaseReport, now: float) -> None:
        """Take a gateway's report that another controller forwards."""
        gateway, key = forwarded.gateway, forwarded.key

        def answer(lease: QuotaLease) -> None:
            self.peers.post(addr, ForwardedLease(gateway, key, lease))

        self._report(gateway, key, _WaitingReport(forwarded.demand, forwarded.held, answer), now)

    def on_forwarded_lease(self, _: str, forwarded: ForwardedLease, __: float) -> None:
        """Pass a holder's answer on to a gateway here."""
        self.gateways.forward(forwarded.gateway, LeaseUpdate(forwarded.key, forwarded.lease))

    def _report(self, gateway: str, key: str, report: _WaitingReport, now: float) -> None:
        """Have a gateway's report answered, once a majority knows that it borrows."""
        fencing_token = self.role_leases.held_fencing_token(key, now)
        if fencing_token is None:
            return
        if report.held.fencing_token > fencing_token:
            self._carry_out(self.role_leases.observe_fencing_token(key, report.held.fencing_token, now))
            return
        self._ensure_grantor(key, fencing_token, now)
        self.gateways.borrowers.record([gateway], now)
        self._waiting.setdefault(key, {})[gateway] = report
        if not self.role_leases.is_borrower_confirmed(key, gateway):
            self._carry_out(self.role_leases.announce_borrowers(key, [gateway], now))
        self._answer_confirmed(now)

    def _ensure_grantor(self, key: str, fencing_token: int, now: float) -> None:
        """Make a grantor for a new fencing token; it is told who may hold what was granted before."""
        grantor = self.grantors.get(key)
        if grantor is not None and grantor.fencing_token == fencing_token:
            return
        announced = self.role_leases.earlier_borrowers(key)
        known = announced
        if announced is None:  # as far as this controller has seen itself
            self.gateways.borrowers.record(self.session_table.members(now), now)
            known = self.gateways.borrowers.known(now)
        self.role_leases.start_borrower_list(key, announced or (), now, is_partial=announced is None)
        self._waiting.pop(key, None)
        gateways = self.session_table.count(now)
        self.grantors[key] = QuotaLeaseGrantor(
            fencing_token, known, gateways, now, TERMS, self._rate, lambda: self._limited.get(key, ())
        )
        self.reserves[key] = QuotaReserve(now)
        known_count = _UNKNOWN if known is None else len(known)
        logs.say(
            "role_acquired",
            key=key,
            fencing_token=fencing_token,
            known_borrowers=known_count,
            announced=announced is not None,
        )

    def _answer_confirmed(self, now: float) -> None:
        """Answer the reports of gateways that a majority has as borrowers by now."""
        for key, waiting in list(self._waiting.items()):
            grantor = self.grantors[key]
            if self.role_leases.held_fencing_token(key, now) != grantor.fencing_token:
                continue  # the next tick drops the grantor
            for gateway in [each for each in waiting if self.role_leases.is_borrower_confirmed(key, each)]:
                report = waiting.pop(gateway)
                lease = grantor.report(gateway, report.demand, report.held, now)
                if lease is not None:
                    report.answer(lease)
            if not waiting:
                del self._waiting[key]

    def _tenant(self, name: str) -> TenantSpec | None:
        item = self.machine.config.items.get(("tenants", name))
        return item.spec if item is not None and isinstance(item.spec, TenantSpec) else None

    def _rate(self, name: str) -> float:
        tenant = self._tenant(name)
        return 0.0 if tenant is None else tenant.rate_per_s or 0.0

    # The reserve

    def on_gateway_draw(self, session: GatewaySession, draw: ReserveDraw, now: float) -> None:
        """Answer a gateway here that draws from the reserve, or forward that to the holder of the role."""
        holder = self.role_leases.holder(shard_of(draw.tenant), now)
        if holder is None or holder == self.peers.me:
            session.link.send(self._draw(draw, now))
        else:
            self.peers.post(holder, draw)

    def on_forwarded_draw(self, addr: str, draw: ReserveDraw, now: float) -> None:
        """Answer a gateway of another controller that draws."""
        self.peers.post(addr, self._draw(draw, now))

    def on_draw_reply(self, _: str, reply: ReserveDrawReply, __: float) -> None:
        """Pass a holder's answer on to a gateway here."""
        self.gateways.forward(reply.gateway, reply)

    def _draw(self, draw: ReserveDraw, now: float) -> ReserveDrawReply:
        """Hand out of the reserve, if it is ours and this controller knows the tenant."""
        key = shard_of(draw.tenant)
        tenant = self._tenant(draw.tenant)
        grantor = self.grantors.get(key)
        is_held = grantor is not None and self.role_leases.held_fencing_token(key, now) == grantor.fencing_token
        if tenant is None or grantor is None or not is_held:
            return ReserveDrawReply(draw.gateway, draw.number, 0, NOT_HOLDER_RETRY_S)
        part = grantor.reserve(draw.tenant)
        rate, burst = part * (tenant.rate_per_s or 0.0), part * (tenant.burst or 0.0)
        granted, wait_s = self.reserves[key].draw(draw.tenant, rate, burst, draw.count, now)
        return ReserveDrawReply(draw.gateway, draw.number, granted, wait_s)


def _sender_to(session: GatewaySession, key: str) -> Callable[[QuotaLease], None]:
    """Return what sends a lease to a gateway here."""
    return lambda lease: session.link.send(LeaseUpdate(key, lease))
