"""Decisions on a request between admission and answer: which server, whether again, when to give up.

Clock-free: events go in with the time they happened, actions come out, as with `fennelpoint.control`.  A
request is sent to a server of its route's service; what was not run is tried elsewhere, what may have run
only if it is safe, both within the route's tries and the retry budget; and what is given up is answered at
once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

from crowseam.configuration.routing import Route
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.reserved_servers import ReservedServers
from crowseam.gateway.subsetting import Subsets
from crowseam.quotas.admission import Admission
from crowseam.quotas.retry_budget import RetryBudget
from fennelpoint.interface import Status

FIRST_GUESS = 0.3  # of a route's target: the time its work takes, before any answer
LEARN, LEARN_SLOW = 0.15, 0.2  # weights of an answer in what a kind of work takes, and in a server's speed
LEARN_MEAN = 0.03  # weight of a request in the mean work of its service
FAST, SLOW = 0.4, 4.0  # bounds of a server's slowness against others
LOAD_HALF = 0.25  # s for what a server told of its load to count half
SERVED_LATELY = 1.0  # s since others served us well: else what fails may be ourselves
TRIAL = 0.7  # s between two trials of a shunned server, by all ingresses together
OVERDUE = 1.5  # slowest usual times without a word that count as a failure
LOST = 2.0  # slowest usual times after which an answer that another server gave is taken for lost
REST, REST_MOST = 0.25, 4.0  # s that a server rests after failures in a row: first, most
FULL_REST = 0.05  # s that nothing more is sent to a server that turned a request away
COLD = 2.0  # how much slower a server is taken for while it says that it warms up
FAR = 0.7  # of the work of a request: the price of a server in another zone
NOISE = 0.05  # random part of a cost, so that ingresses that know alike don't choose alike
LONG_ON_SHORT, SHORT_ON_LONG = 1.0, 0.3  # of its work: the price of a request on the other kind's servers
RISK = 0.5  # of a request's work: the price of each that a server holds though a slot is free
WAITING = 6  # requests that a server is let have waiting, by what is known here, before we refuse
HEDGE = 3.0  # usual times of an answer after which a repeatable request is sent once more
TAIL_STEP, TAIL = 0.05, 0.04  # how the time that all but the slowest TAIL of answers take is followed
LEAST_LEFT = 0.02  # s that must be left for another try to be of use
NOT_RUN = frozenset((429, 503, 408, 421))  # a promise: it has not run and never will
RETURN_LEAST = 0.05  # s, least told a client to come back after


@dataclass(slots=True, eq=False)
class Server:
    """What this ingress knows of one server."""

    id: str
    svc: str
    addr: str
    az: str
    slots: int
    warm_at: float  # when it has warmed up, by its word
    usable: bool = True
    quiet: bool = False  # no sign of life has come to the controllers
    out: int = 0  # our requests there
    told: float = 0.0  # requests it held by its own word, ours of the moment left out
    told_at: float = -inf
    slow: float = 1.0  # its time for a piece of work against the others'
    shunned: bool = False  # the fleet complains of it
    rank: float = 1.0  # its place among its zone's, 0 to 1 (`reserved_servers`)
    try_at: float = inf  # when we try whether it is well again
    fails: int = 0  # in a row
    failed_at: float = -inf
    overdue_at: float = -inf  # when we last told that it says nothing
    rest_until: float = 0.0  # after failures
    full_until: float = 0.0  # after it turned a request away
    answered_at: float = -inf


@dataclass(slots=True, eq=False)
class Kind:
    """What is known of the requests of one route at one service."""

    work: float  # s, of an answer by a server that is not busy
    tail: float  # s, all but the slowest answers


@dataclass(slots=True, eq=False)
class Try:
    """A client's request that has no answer yet."""

    id: int
    route: Route
    tenant: str
    begun: float
    ends: float
    svc: str
    out: dict[int, tuple[Server, float]] = field(default_factory=dict)  # attempts under way: server, sent at
    tried: list[str] = field(default_factory=list)
    attempts: int = 0
    ran: bool = False  # an attempt may have run
    offered: bool = False  # a server has had it
    hedge_at: float = inf
    answer: object = None  # the last failure that a server answered with, to be passed on


# Actions


@dataclass(slots=True)
class Send:
    """Send the request to a server; `number` names the attempt, of which the outcome is to be told."""

    id: int
    number: int
    server: Server


@dataclass(slots=True)
class Give:
    """Answer the client: with what the server answered in this attempt, or a status of our own."""

    id: int
    status: int
    retry_after: float = 0.0
    answer: object = None
    reason: str = ""


@dataclass(slots=True)
class Draw:
    """Ask the grantor's reserve for one request of the tenant, then call `arrive` again with the answer."""

    id: int
    tenant: str


@dataclass(slots=True)
class Wake:
    """Call `late` for this request at this time."""

    id: int
    at: float


class LoadBalancer:
    """The decisions of one gateway; its owner carries out what the methods return."""

    def __init__(self, az: str, admission: Admission, budget: RetryBudget, rng: Random, name: str = "") -> None:
        """`az`: the gateway's zone; `name`: its host name, which ranks the servers of large services."""
        self.az, self.admission, self.budget, self.rng = az, admission, budget, rng
        self.servers: dict[str, Server] = {}
        self.services: dict[str, list[Server]] = {}
        self.subsets = Subsets(name, az)
        self.kinds: dict[tuple[str, str], Kind] = {}
        self.reserved_servers = ReservedServers()
        self.mean: dict[str, float] = {}  # s of work that a service's requests take on average
        self.tries: dict[int, Try] = {}
        self.news: dict[str, int] = {}
        self.ingresses = 1
        self.served_at = -inf  # when a server has last served us
        self.dry: dict[str, float] = {}  # tenants whose reserve is empty, by when it is worth asking again

    # What the controllers tell

    def follow(self, records: list[ServerRecord], whole: bool, now: float) -> None:
        """Take in servers, all there are or those changed."""
        moved: set[str] = set()  # services whose servers are not those they were
        if whole:
            named = {record.id for record in records}
            for gone in [one for one in self.servers if one not in named]:
                moved.add(self.servers[gone].svc)
                self._drop(gone)
        for record in records:
            server = self.servers.get(record.id)
            if server is None or (server.usable, server.az) != (record.usable, record.az):
                moved.add(record.svc)
            if record.phase == "gone":
                self._drop(record.id)
                continue
            if server is None or (server.addr, server.svc) != (record.addr, record.svc):
                self._drop(record.id)
                server = self.servers[record.id] = Server(
                    record.id, record.svc, record.addr, record.az, max(1, record.slots), now + record.warm / 1000.0
                )
                servers = self.services.setdefault(record.svc, [])
                servers.append(server)
                self.subsets.joined(server, servers)
            elif server.az != record.az:
                self.subsets.left(server, self.services[server.svc])
                server.az = record.az
                self.subsets.joined(server, self.services[server.svc])
            server.usable = record.usable
        self.subsets.news()
        for svc in moved:
            self.reserved_servers.order(self.services.get(svc, ()))

    def _drop(self, ident: str) -> None:
        if (server := self.servers.pop(ident, None)) is not None:
            server.usable = False
            servers = self.services[server.svc]
            servers.remove(server)
            self.subsets.left(server, servers)

    def shun(self, ids: list[str], now: float) -> None:
        """The servers that the fleet complains of: all of them."""
        named = set(ids)
        for server in self.servers.values():
            if server.id in named and not server.shunned:
                self._plan_trial(server, now)
            server.shunned = server.id in named
        self.subsets.news()

    def _plan_trial(self, s: Server, now: float) -> None:
        """One ingress or another tries it each TRIAL seconds, of those that consider it."""
        span = TRIAL * self.ingresses * self.subsets.part(self.services[s.svc])
        s.try_at = now + self.rng.expovariate(1.0 / span)

    def ill_news(self, now: float) -> dict[str, int]:
        """Failures of servers since this was last asked, and (below 0) successes of those now shunned."""
        self._overdue(now)
        news, self.news = self.news, {}
        return news

    def _overdue(self, now: float) -> None:
        """Servers that have said nothing since they were sent what is long overdue."""
        for t in self.tries.values():
            for server, sent in t.out.values():
                if (
                    max(server.answered_at, server.overdue_at) < sent
                    and now - sent > OVERDUE * self.kind(t.svc, t.route).tail
                ):
                    server.overdue_at = now
                    server.rest_until = max(server.rest_until, now + REST)
                    self._tell(server, now)

    def _tell(self, s: Server, now: float) -> None:
        """A failure that the fleet is to hear of: each ingress meets each server seldom."""
        if now - self.served_at < SERVED_LATELY:
            self.news[s.id] = max(0, self.news.get(s.id, 0)) + 1

    def silent(self, ids: list[str]) -> None:
        """The servers of which no sign of life has come for a while: all of them."""
        named = set(ids)
        for server in self.servers.values():
            server.quiet = server.id in named
        self.subsets.news()

    def leaving(self) -> dict[str, int]:
        """Our requests under way at servers that get no new ones, by id; servers without any are left out."""
        return {server.id: server.out for server in self.servers.values() if server.out and not server.usable}

    # Requests

    def arrive(
        self, number: int, route: Route, tenant: str, left: float, now: float, drawn: float | None = None
    ) -> list:
        """A request has come whole.  `drawn`: the reserve has been asked, and this is the wait it told of."""
        decision = self.admission.admit(tenant, 1.0 / (1.0 + route.prio), now, is_again=drawn is not None)
        if not decision.is_admitted:
            if decision.reason == "quota" and drawn is None and now >= self.dry.get(tenant, 0.0):
                return [Draw(number, tenant)]
            if drawn is not None:
                self.dry[tenant] = now + drawn
            status = 429 if decision.reason == "quota" else 503
            wait = decision.wait_s if drawn is None else min(decision.wait_s, drawn)
            return [Give(number, status, max(RETURN_LEAST, wait), reason=decision.reason)]
        svc = route.pick(self.rng.random())
        t = self.tries[number] = Try(number, route, tenant, now, now + left, svc)
        out = self._send(t, now)
        if out is None:
            self.admission.refund(tenant, now)
            return self._refuse(t, now, "no_room")
        return out

    def _send(self, t: Try, now: float) -> list | None:
        """Send it to the best server, or say that there is none."""
        server = self._choose(t, now)
        if server is None:
            return None
        number, t.attempts = t.attempts, t.attempts + 1
        kind = self.kind(t.svc, t.route)
        t.out[number] = (server, now)
        t.tried.append(server.id)
        server.out += 1
        if self._has_tenant(t):
            self.admission.record_sent(t.tenant, kind.work, number == 0)
        if number == 0:
            self.budget.record_first(t.svc, now)
        out: list = [Send(t.id, number, server)]
        if t.route.safe and t.attempts < t.route.tries:
            t.hedge_at = now + max(HEDGE * kind.work, 1.5 * kind.tail)
            if t.hedge_at < t.ends - LEAST_LEFT:
                out.append(Wake(t.id, t.hedge_at))
        return out

    def kind(self, svc: str, route: Route) -> Kind:
        """What is known of a route's requests at a service; a guess before the first answer."""
        kind = self.kinds.get((svc, route.name))
        if kind is None:
            guess = FIRST_GUESS * route.target
            kind = self.kinds[svc, route.name] = Kind(guess, 2.5 * guess)
        return kind

    def _choose(self, t: Try, now: float) -> Server | None:
        """The server with the least expected wait that may take this request, of those we consider."""
        kind = self.kind(t.svc, t.route)
        mean = self.mean.get(t.svc, kind.work)
        short = self.reserved_servers.ask(t.svc, kind.work, mean)
        for among in self.subsets.of(t.svc, self.services.get(t.svc, [])):
            if (server := self._best(among, t, kind.work, mean, short, now)) is not None:
                return server
        return None

    def _best(self, among: list[Server], t: Try, work: float, mean: float, short: bool, now: float) -> Server | None:
        able = [s for s in among if s.usable and s.id not in t.tried]
        if not able:
            return None
        able = [s for s in able if now >= s.full_until]
        if t.route.safe and t.attempts == 0 and t.route.tries > 1:
            for s in able:
                if s.shunned and now >= s.try_at:
                    self._plan_trial(s, now)
                    return s  # what may be repeated finds out whether it is back
        well = [s for s in able if now >= s.rest_until and not (s.quiet or s.shunned)]
        if not well:
            # All rest or are silent: what may be repeated finds out whether one is back.
            well = [s for s in able if not s.quiet] or able
            if not t.route.safe:
                well = [s for s in well if s.fails <= 1] or well
        part = self.reserved_servers.part(t.svc)
        away = (SHORT_ON_LONG if short else LONG_ON_SHORT) * work
        best, least = None, inf
        for s in well:
            held = self.held(s, now)
            if held >= s.slots + WAITING and now - s.told_at < 1.0:
                continue
            cost = self._cost(s, held, work, mean, now)
            if part and (s.rank < part) != short:
                cost += away
            if cost < least:
                best, least = s, cost
        return best

    def held(self, s: Server, now: float) -> float:
        """Requests that a server holds, as far as can be told: what it said, fading, and ours.

        What all ingresses have under way, told over the fleet each 0.1 s, did worse: they see the same server
        idle and all go there (docs/measured.md).
        """
        return max(s.out, s.told * 0.5 ** ((now - s.told_at) / LOAD_HALF) + s.out)

    def _cost(self, s: Server, held: float, work: float, mean: float, now: float) -> float:
        """Expected seconds there. What waits before it is work of any kind: a short one minds it more."""
        slow = s.slow * (COLD if now < s.warm_at else 1.0)
        ahead = max(0.0, held + 1.0 - s.slots)
        # A server that is nearly full is a risk even where a slot is free: others choose it as well.
        wait = mean * (ahead + RISK * held) / s.slots
        cost = slow * (work + wait) + (FAR * work if s.az != self.az else 0.0)
        return cost * (1.0 + NOISE * self.rng.random())

    def outcome(
        self,
        number: int,
        attempt: int,
        status: Status,
        answer: object,
        now: float,
        load: tuple[int, int, int] | None = None,
    ) -> list:
        """An attempt has ended.

        OK: the server's whole success. ERROR: another answer of the server, which ran it. FULL: it says that
        it did not run it. CONNECT_FAILED, MOOT: it never had it whole. RESET, TIMEOUT: it may have run.
        """
        t = self.tries.get(number)
        if t is None or attempt not in t.out:
            return []
        server, sent = t.out.pop(attempt)
        server.out -= 1
        self._learn(t, server, sent, status, load, now)
        if status is Status.OK:
            self._answered(t, now - t.begun, now)
            for other, begun in t.out.values():  # nobody tells of those that were slower
                other.out -= 1
                ratio = min(SLOW, (now - begun) / self.kind(t.svc, t.route).work)
                other.slow = max(other.slow, other.slow + LEARN_SLOW * (ratio - other.slow))
                if now - begun > LOST * self.kind(t.svc, t.route).tail and begun >= other.failed_at:
                    self._fail(other, begun, now)
            del self.tries[number]
            return [Give(number, 0, answer=answer)]
        if status not in (Status.CONNECT_FAILED, Status.MOOT):
            t.offered = True
        if status in (Status.ERROR, Status.RESET, Status.TIMEOUT):
            t.ran = True
            if status is Status.ERROR:
                t.answer = answer
        if t.out:
            return []  # another attempt is under way
        return self._again(t, status, now)

    def _again(self, t: Try, status: Status, now: float) -> list:
        tries = t.attempts
        if not t.offered:
            # It waited for servers that have left meanwhile: to be moved is no try.
            tries -= sum(ident not in self.servers or not self.servers[ident].usable for ident in t.tried)
        may = tries < t.route.tries and now + LEAST_LEFT < t.ends and (t.route.safe or not t.ran)
        if may:
            # What a server has had counts in the budget; what never came to one does not.
            if not t.offered or self.budget.may_retry(t.svc, now):
                out = self._send(t, now)
                if out is not None:
                    if t.offered:
                        self.budget.try_spend(t.svc, now)
                    return out
        if not t.ran:
            if self._has_tenant(t):
                self.admission.refund(t.tenant, now)
            return self._refuse(t, now, status.value)
        del self.tries[t.id]
        self._answered(t, max(now - t.begun, t.route.target * 1.5), now)
        if t.answer is not None and t.answer.status not in NOT_RUN:
            return [Give(t.id, 0, answer=t.answer)]
        return [Give(t.id, 504 if now >= t.ends - LEAST_LEFT else 502, reason=status.value)]

    def _refuse(self, t: Try, now: float, reason: str) -> list:
        """It has not run and won't: told at once, with when to come back."""
        self.tries.pop(t.id, None)
        wait = max(RETURN_LEAST, 0.5 * self.kind(t.svc, t.route).work)
        return [Give(t.id, 503, wait, reason=reason)]

    def late(self, number: int, now: float) -> list:
        """A repeatable request has waited long: it is sent to one more server, within the budget."""
        t = self.tries.get(number)
        if t is None or not t.out or now < t.hedge_at - 0.001 or t.attempts >= t.route.tries:
            return []
        if len(t.out) > 1 or now + LEAST_LEFT > t.ends or not self.budget.may_retry(t.svc, now):
            return []
        out = self._send(t, now)
        if out is None:
            return []
        self.budget.try_spend(t.svc, now)
        return out

    def silent_amid(self, number: int, attempt: int, now: float) -> list:
        """The answer of this attempt has fallen silent midway: as if it were late, and the server is told of."""
        t = self.tries.get(number)
        if t is None or attempt not in t.out:
            return []
        server, sent = t.out[attempt]
        if sent > server.overdue_at:
            server.overdue_at = now
            self._tell(server, now)
        if not t.route.safe:
            return []
        t.hedge_at = min(t.hedge_at, now)
        return self.late(number, now)

    def over(self, number: int, now: float) -> list:
        """The client's time is up."""
        t = self.tries.pop(number, None)
        if t is None:
            return []
        self._leave(t, now)
        self._answered(t, now - t.begun, now)
        return [Give(number, 504, reason="deadline")]

    def passed(self, number: int, attempt: int, status: Status, now: float) -> None:
        """A large answer of this attempt has gone to the client as it came.

        OK: whole.  TIMEOUT: broken off by us, as its time was up.  Else the server broke off.
        """
        t = self.tries.pop(number, None)
        if t is None or attempt not in t.out:
            return
        server, sent = t.out.pop(attempt)
        server.out -= 1
        self._leave(t, now)
        if status is Status.OK:
            server.fails, server.answered_at = 0, now
            self._answered(t, now - t.begun, now)
        elif status is not Status.TIMEOUT and sent >= server.failed_at:
            self._fail(server, sent, now)  # a timeout may be the client's doing, who reads slowly

    def sent(self, number: int, attempt: int, now: float) -> None:
        """An attempt goes out only now: until then the right to send it was waited for."""
        t = self.tries.get(number)
        if t is not None and attempt in t.out:
            server, _ = t.out[attempt]
            t.out[attempt] = (server, now)

    def unsent(self, number: int, now: float) -> None:
        """A request whose only attempt was never sent is answered without a server."""
        t = self.tries.pop(number, None)
        if t is None:
            return
        for server, _ in t.out.values():
            server.out -= 1
        if self._has_tenant(t):
            self.admission.refund(t.tenant, now)

    def gone(self, number: int, now: float) -> None:
        """The client has left."""
        if (t := self.tries.pop(number, None)) is not None:
            self._leave(t, now)

    def _leave(self, t: Try, now: float) -> None:
        for server, sent in t.out.values():
            server.out -= 1
            # It has been silent so long: as little as is known, it is no better than that.
            if now - sent > self.kind(t.svc, t.route).tail:
                self._fail(server, sent, now)

    def _has_tenant(self, t: Try) -> bool:
        """Whether the configuration in force still has its tenant: a request under way outlives a change."""
        return t.tenant in self.admission.tenants

    def _answered(self, t: Try, latency: float, now: float) -> None:
        """Tell admission that the request was answered `latency` s after it came."""
        if self._has_tenant(t):
            self.admission.record_answer(t.tenant, latency, t.route.target)

    # What answers tell

    def _learn(
        self, t: Try, s: Server, sent: float, status: Status, load: tuple[int, int, int] | None, now: float
    ) -> None:
        if load is not None:
            # The answer's own request is still among those it counts as running.
            s.told, s.told_at, s.slots = max(0, load[0] + load[1] - 1 - s.out), now, max(1, load[2])
        if status is Status.OK:
            kind, latency = self.kind(t.svc, t.route), now - sent
            s.fails, s.answered_at, s.quiet, self.served_at = 0, now, False, now
            if s.shunned and self.news.get(s.id, 0) <= 0:
                self.news[s.id] = self.news.get(s.id, 0) - 1
            mean = self.mean.get(t.svc, kind.work)
            self.mean[t.svc] = mean + LEARN_MEAN * (kind.work - mean)
            late = latency > kind.tail
            kind.tail *= 1.0 + TAIL_STEP * (late - TAIL)
            kind.tail = max(kind.tail, kind.work)
            busy = load is not None and load[1] > 0
            if now >= s.warm_at and not busy:
                ratio = min(SLOW, max(FAST, latency / kind.work))
                s.slow += LEARN_SLOW * (ratio - s.slow)
                kind.work += LEARN * (min(latency / s.slow, 3.0 * kind.work) - kind.work)
        elif status is Status.FULL:
            s.full_until = now + FULL_REST
            s.told, s.told_at = max(s.told, float(s.slots + WAITING)), now
        elif status in (Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED):
            if sent >= s.failed_at:  # what was sent before tells nothing new
                self._fail(s, sent, now)
        elif status is Status.ERROR:
            self._tell(s, now)

    def _fail(self, s: Server, sent: float, now: float) -> None:
        """What was `sent` then has come to nothing."""
        self.subsets.news()
        s.fails, s.failed_at = s.fails + 1, now
        if sent > s.overdue_at:
            self._tell(s, now)
        s.rest_until = now + min(REST_MOST, REST * 2.0 ** (s.fails - 1))
