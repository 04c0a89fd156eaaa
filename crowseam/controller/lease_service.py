"""Quota leases: granted for the roles held here; other requests are forwarded to the holders of their roles."""

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

BORROWER_SWEEP_INTERVAL_S = 1.0  # between removals of gateways that no longer borrow
NOT_HOLDER_RETRY_S = 0.12  # delay before a gateway may repeat a draw that reached a controller without the reserve
GRANTOR_TERMS = GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05)
_UNKNOWN_COUNT = -1  # logged if the borrowers are not known


class _WaitingReport(NamedTuple):
    """A report that waits until a majority of the voters has recorded its gateway as a borrower."""

    demand: dict[str, float]
    held: LeaseReport
    answer: Callable[[QuotaLease], None]


class LeaseService:
    """Has a grantor and a reserve for each role held here, and forwards other reports to the holders of their roles.

    A report waits until a majority of the voters has recorded its gateway as a borrower. Times are seconds of the
    monotonic clock, rates are requests per second.
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
        self._pending_writes = 0  # writes of role grants that are not on disk yet
        self._waiting: dict[str, dict[str, _WaitingReport]] = {}  # by role and gateway
        self._swept_at = 0.0
        self._tenants_with_quota: dict[str, list[str]] = {}  # by role
        self.index_tenants()

    def index_tenants(self) -> None:
        """Group the tenants with a quota by role; to be called with each new configuration."""
        self._tenants_with_quota = {key: [] for key in ROLE_KEYS}
        for (_, name), item in self.machine.config.items.items():
            if isinstance(item.spec, TenantSpec) and item.spec.rate_per_s:
                self._tenants_with_quota[shard_of(name)].append(name)

    # Roles

    def tick(self, now: float, reachable: set[str], voters: set[str]) -> None:
        """Acquire, renew and release roles; to be called several times a second."""
        self._send_after_write(self.role_leases.tick(now, reachable, voters))
        gateways = self.session_table.count(now) if self.grantors else 0
        is_sweep_due = now - self._swept_at >= BORROWER_SWEEP_INTERVAL_S
        if is_sweep_due:
            self._swept_at = now
        for key, grantor in list(self.grantors.items()):
            if self.role_leases.held_fencing_token(key, now) != grantor.fencing_token:
                del self.grantors[key]
                self._waiting.pop(key, None)
                logs.emit("role_released", key=key, fencing_token=grantor.fencing_token)
                continue
            grantor.expected_gateways = gateways
            if is_sweep_due:
                borrowers = grantor.borrowers() | self._waiting.get(key, {}).keys()
                self.role_leases.keep_borrowers(key, borrowers, now)
        self._answer_confirmed(now)

    def learn(self, fencing_tokens: Mapping[str, int]) -> set[str]:
        """Adopt the fencing tokens that another voter has seen; return the roles that are to be saved."""
        self.role_leases.adopt_fencing_tokens(fencing_tokens)
        return set(self.role_leases.take_unsaved())

    def notes(self, keys: set[str]) -> list[Note]:
        """Return the records to save for these roles, with their current state."""
        notes = {key: self.role_leases.note(key) for key in sorted(keys)}
        return [Note(ROLE_KEY_PREFIX + key, note.encode()) for key, note in notes.items() if note]

    def on_role_message(self, addr: str, message: role_messages.Message, now: float) -> None:
        """Handle a message of another controller about roles."""
        self._send_after_write(self.role_leases.handle(addr, message, now))
        if self._waiting:
            self._answer_confirmed(now)

    def _send_after_write(self, outgoing: list[Outgoing]) -> None:
        """Send messages about roles; grants only once all earlier grants are on disk."""
        if not self.role_leases.unsaved and not self._pending_writes:
            self.peers.post_all(outgoing)
            return
        grants = [out for out in outgoing if isinstance(out.message, RoleLeaseGrant)]
        self.peers.post_all([out for out in outgoing if not isinstance(out.message, RoleLeaseGrant)])
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
        """Handle a gateway's report of demand and held leases, here or by forwarding it to the holder of each role."""
        for key, held in report.held.items():
            if key not in ROLE_KEYS:
                continue
            demand = {tenant: rate for tenant, rate in report.demand.items() if shard_of(tenant) == key}
            holder = self.role_leases.holder(key, now)
            if holder == self.peers.me:
                self._handle_report(
                    session.gateway, key, _WaitingReport(demand, held, _lease_sender(session, key)), now
                )
            elif holder is not None:
                self.peers.post(holder, ForwardedLeaseReport(session.gateway, key, demand, held))

    def on_forwarded_report(self, addr: str, forwarded: ForwardedLeaseReport, now: float) -> None:
        """Handle a gateway's report that another controller forwarded."""
        gateway, key = forwarded.gateway, forwarded.key

        def answer(lease: QuotaLease) -> None:
            self.peers.post(addr, ForwardedLease(gateway, key, lease))

        self._handle_report(gateway, key, _WaitingReport(forwarded.demand, forwarded.held, answer), now)

    def on_forwarded_lease(self, _: str, forwarded: ForwardedLease, __: float) -> None:
        """Pass the lease from the holder of a role on to a gateway here."""
        self.gateways.forward(forwarded.gateway, LeaseUpdate(forwarded.key, forwarded.lease))

    def _handle_report(self, gateway: str, key: str, report: _WaitingReport, now: float) -> None:
        """Answer a gateway's report once a majority has recorded the gateway as a borrower."""
        fencing_token = self.role_leases.held_fencing_token(key, now)
        if fencing_token is None:
            return
        if report.held.fencing_token > fencing_token:
            self._send_after_write(self.role_leases.observe_fencing_token(key, report.held.fencing_token, now))
            return
        self._ensure_grantor(key, fencing_token, now)
        self.gateways.borrowers.record([gateway], now)
        self._waiting.setdefault(key, {})[gateway] = report
        if not self.role_leases.is_borrower_confirmed(key, gateway):
            self._send_after_write(self.role_leases.announce_borrowers(key, [gateway], now))
        self._answer_confirmed(now)

    def _ensure_grantor(self, key: str, fencing_token: int, now: float) -> None:
        """Create a grantor for a new fencing token, with the gateways that may hold earlier leases."""
        grantor = self.grantors.get(key)
        if grantor is not None and grantor.fencing_token == fencing_token:
            return
        announced = self.role_leases.earlier_borrowers(key)
        borrowers = announced
        if announced is None:  # fall back to the borrowers that this controller knows
            self.gateways.borrowers.record(self.session_table.members(now), now)
            borrowers = self.gateways.borrowers.known(now)
        self.role_leases.start_borrower_list(key, announced or (), now, is_partial=announced is None)
        self._waiting.pop(key, None)
        gateways = self.session_table.count(now)
        self.grantors[key] = QuotaLeaseGrantor(
            fencing_token,
            borrowers,
            gateways,
            now,
            GRANTOR_TERMS,
            self._rate,
            lambda: self._tenants_with_quota.get(key, ()),
        )
        self.reserves[key] = QuotaReserve(now)
        known_count = _UNKNOWN_COUNT if borrowers is None else len(borrowers)
        logs.emit(
            "role_acquired",
            key=key,
            fencing_token=fencing_token,
            known_borrowers=known_count,
            announced=announced is not None,
        )

    def _answer_confirmed(self, now: float) -> None:
        """Answer the waiting reports of gateways that a majority has now recorded as borrowers."""
        for key, waiting in list(self._waiting.items()):
            grantor = self.grantors[key]
            if self.role_leases.held_fencing_token(key, now) != grantor.fencing_token:
                continue  # the next tick drops the grantor
            for gateway in [name for name in waiting if self.role_leases.is_borrower_confirmed(key, name)]:
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
        """Answer a draw on the reserve by a gateway here, or forward it to the holder of the role."""
        holder = self.role_leases.holder(shard_of(draw.tenant), now)
        if holder is None or holder == self.peers.me:
            session.link.send(self._draw(draw, now))
        else:
            self.peers.post(holder, draw)

    def on_forwarded_draw(self, addr: str, draw: ReserveDraw, now: float) -> None:
        """Answer a draw that another controller forwarded."""
        self.peers.post(addr, self._draw(draw, now))

    def on_draw_reply(self, _: str, reply: ReserveDrawReply, __: float) -> None:
        """Pass the answer from the holder of a role on to a gateway here."""
        self.gateways.forward(reply.gateway, reply)

    def _draw(self, draw: ReserveDraw, now: float) -> ReserveDrawReply:
        """Draw from the reserve, if the role is held here and the tenant is known."""
        key = shard_of(draw.tenant)
        tenant = self._tenant(draw.tenant)
        grantor = self.grantors.get(key)
        is_held = grantor is not None and self.role_leases.held_fencing_token(key, now) == grantor.fencing_token
        if tenant is None or grantor is None or not is_held:
            return ReserveDrawReply(draw.gateway, draw.number, 0, NOT_HOLDER_RETRY_S)
        fraction = grantor.reserve(draw.tenant)
        rate, burst = fraction * (tenant.rate_per_s or 0.0), fraction * (tenant.burst or 0.0)
        granted, wait_s = self.reserves[key].draw(draw.tenant, rate, burst, draw.count, now)
        return ReserveDrawReply(draw.gateway, draw.number, granted, wait_s)


def _lease_sender(session: GatewaySession, key: str) -> Callable[[QuotaLease], None]:
    """Return a function that sends a lease to a gateway here."""
    return lambda lease: session.link.send(LeaseUpdate(key, lease))
