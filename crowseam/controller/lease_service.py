"""Slices of the tenants' quotas: lent under the duties held here, asked for elsewhere otherwise."""

from __future__ import annotations

from collections.abc import Callable

from crowseam import logs
from crowseam.controller.disk import DUTY, Archive
from crowseam.controller.gateway_sessions import Desks, Session
from crowseam.controller.peers import Peers
from crowseam.controller.state_machine import Machine
from crowseam.membership import duties
from crowseam.membership.sessions import Roll
from crowseam.quotas.leases import Held, Lease, Lender, LendingTerms, Reserve
from crowseam.quotas.shards import KEYS, duty_of
from crowseam.storage.store import Note
from crowseam.transport import messages as m

STRIKE = 1.0    # s between two looks for desks that borrow no more
NOT_HERE = 0.12  # s after which a desk may draw again that came to a registry without the reserve
TERMS = LendingTerms(reserve=0.35, least=0.05)


class Loans:
    """A lender and a reserve for each duty held here; a desk's report goes to whoever holds the duty.

    A report of a desk that no majority of the voters has as a borrower waits until one has.  Times are
    seconds of the steady clock, rates requests a second.
    """

    def __init__(self, held: duties.Duties, machine: Machine, roll: Roll, desks: Desks, peers: Peers,
                 archive: Archive) -> None:
        self.duties, self.machine, self.roll = held, machine, roll
        self.desks, self.peers, self.archive = desks, peers, archive
        self.lenders: dict[str, Lender] = {}
        self.reserves: dict[str, Reserve] = {}
        self._writing = 0   # writes of grants that are out
        # By duty and desk: reports that wait until a majority has the desk among the borrowers.
        self._unnamed: dict[str, dict[str, tuple[dict[str, float], Held, Callable[[Lease], None]]]] = {}
        self._struck_at = 0.0   # when those that borrow no more were last looked for
        self._limited: dict[str, list[str]] = {}    # tenants with a quota, by duty
        self.sort_tenants()

    def sort_tenants(self) -> None:
        """Find the tenants of each duty anew; to be called with each new configuration."""
        self._limited = {key: [] for key in KEYS}
        for (kind, name), item in self.machine.config.items.items():
            if kind == "tenants" and item.spec.rate_per_s:
                self._limited[duty_of(name)].append(name)

    # Duties

    def tick(self, now: float, live: set[str], voters: set[str]) -> None:
        """Take, renew and give up duties; to be called some times a second."""
        self._carry(self.duties.tick(now, live, voters))
        expect = self.roll.count(now) if self.lenders else 0
        strike = now - self._struck_at >= STRIKE
        if strike:
            self._struck_at = now
        for key, lender in list(self.lenders.items()):
            if self.duties.holds(key, now) != lender.fence:
                del self.lenders[key]
                self._unnamed.pop(key, None)
                logs.say("duty_left", key=key, fence=lender.fence)
            else:
                lender.expect = expect
                if strike:
                    self.duties.strike(key, lender.borrowers() | self._unnamed.get(key, {}).keys(), now)
        self._answer_named(now)

    def learn(self, fences: dict[str, int]) -> list[Note]:
        """Take over the fences that another voter has seen: what is to be on disk of them."""
        self.duties.learn(fences)
        return [Note(DUTY + key, note.encode()) for key, note in self.duties.take_unsaved().items()]

    def take(self, addr: str, message: duties.Message, now: float) -> None:
        """What another registry says of duties."""
        self._carry(self.duties.handle(addr, message, now))
        if self._unnamed:
            self._answer_named(now)

    def _carry(self, out: duties.Outbox) -> None:
        """Send what the duties say; what grants a key, once all that was granted before is on disk."""
        if not self.duties.unsaved and not self._writing:
            return self.peers.post_all(out)
        grants = [each for each in out if isinstance(each[1], duties.Granted)]
        self.peers.post_all([each for each in out if not isinstance(each[1], duties.Granted)])
        holders = self.duties.take_unsaved()
        if not grants and not holders:
            return

        def done(ok: bool) -> None:
            self._writing -= 1
            if ok:
                self.peers.post_all(grants)
            else:
                self.duties.unkept(holders)

        self._writing += 1
        self.archive.write([Note(DUTY + key, holder.encode()) for key, holder in holders.items()], done)

    # Leases

    def report(self, session: Session, report: m.Report, now: float) -> None:
        """A desk says what it was asked for and holds; its leases come from here, or from the holders."""
        for key, held in report.held.items():
            if key not in KEYS:
                continue
            asks = {tenant: rate for tenant, rate in report.asks.items() if duty_of(tenant) == key}
            holder = self.duties.holder_of(key, now)
            if holder == self.peers.me:
                self._lease(session.desk, key, asks, held, now,
                            lambda lease, key=key: session.link.send(m.Slice(key, lease)))
            elif holder is not None:
                self.peers.post(holder, m.Ask(session.desk, key, asks, held))

    def asked(self, addr: str, ask: m.Ask, now: float) -> None:
        """A desk's report that another registry passes on."""
        self._lease(ask.desk, ask.key, ask.asks, ask.held, now,
                    lambda lease: self.peers.post(addr, m.Lent(ask.desk, ask.key, lease)))

    def lent(self, _: str, lent: m.Lent, now: float) -> None:
        """The holder's answer, for a desk here."""
        self.desks.pass_on(lent.desk, m.Slice(lent.key, lent.lease))

    def _lease(self, desk: str, key: str, asks: dict[str, float], held: Held, now: float,
               answer: Callable[[Lease], None]) -> None:
        """Have a desk's report answered, once a majority knows that it borrows."""
        fence = self.duties.holds(key, now)
        if fence is None:
            return
        if held.fence > fence:
            self._carry(self.duties.saw(key, held.fence, now))
            return
        self._lender(key, fence, now)
        self.desks.borrowers.saw([desk], now)
        self._unnamed.setdefault(key, {})[desk] = asks, held, answer
        if not self.duties.named(key, desk):
            self._carry(self.duties.name(key, [desk], now))
        self._answer_named(now)

    def _lender(self, key: str, fence: int, now: float) -> None:
        """The lender under this fence is there; a new one is named who may hold what was lent before."""
        lender = self.lenders.get(key)
        if lender is not None and lender.fence == fence:
            return
        named = self.duties.borrowers(key)
        known = named
        if named is None:   # as far as this registry has seen itself
            self.desks.borrowers.saw(self.roll.members(now), now)
            known = self.desks.borrowers.known(now)
        self.duties.begin_list(key, named or (), now, partial=named is None)
        self._unnamed.pop(key, None)
        self.lenders[key] = Lender(fence, known, self.roll.count(now), now, TERMS, self._rate,
                                   lambda: self._limited.get(key, ()))
        self.reserves[key] = Reserve(now)
        logs.say("duty_taken", key=key, fence=fence, known=-1 if known is None else len(known),
                 named=named is not None)

    def _answer_named(self, now: float) -> None:
        """Answer the reports of desks that a majority has as borrowers by now."""
        for key, waiting in list(self._unnamed.items()):
            lender = self.lenders[key]
            if self.duties.holds(key, now) != lender.fence:
                continue    # the next look at the duties ends it
            for desk in [desk for desk in waiting if self.duties.named(key, desk)]:
                asks, held, answer = waiting.pop(desk)
                if (lease := lender.report(desk, asks, held, now)) is not None:
                    answer(lease)
            if not waiting:
                del self._unnamed[key]

    def _rate(self, tenant: str) -> float:
        item = self.machine.config.items.get(("tenants", tenant))
        return 0.0 if item is None else item.spec.rate_per_s or 0.0

    # The reserve

    def draw(self, session: Session, draw: m.Draw, now: float) -> None:
        """A desk here draws from the reserve."""
        holder = self.duties.holder_of(duty_of(draw.tenant), now)
        if holder is None or holder == self.peers.me:
            session.link.send(self._drawn(draw, now))
        else:
            self.peers.post(holder, draw)

    def draw_asked(self, addr: str, draw: m.Draw, now: float) -> None:
        """A desk of another registry draws."""
        self.peers.post(addr, self._drawn(draw, now))

    def drawn(self, _: str, drawn: m.Drawn, now: float) -> None:
        """The holder's answer, for a desk here."""
        self.desks.pass_on(drawn.desk, drawn)

    def _drawn(self, draw: m.Draw, now: float) -> m.Drawn:
        """Hand out of the reserve, if it is ours and this registry knows the tenant."""
        key = duty_of(draw.tenant)
        item = self.machine.config.items.get(("tenants", draw.tenant))
        lender = self.lenders.get(key)
        if item is None or lender is None or self.duties.holds(key, now) != lender.fence:
            return m.Drawn(draw.desk, draw.number, 0, NOT_HERE)
        part = lender.reserve(draw.tenant)
        given, wait = self.reserves[key].draw(draw.tenant, part * (item.spec.rate_per_s or 0.0),
                                              part * (item.spec.burst or 0.0), draw.count, now)
        return m.Drawn(draw.desk, draw.number, given, wait)
