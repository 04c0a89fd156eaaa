"""Model check of who is answered: scripted peers before the real gateway and the real controllers.

`run` plays seeded schedules on virtual time and links; every fourth is a sweep, every fourth of the
control side.  Servers, clients, callers and the gateway's controller are scripts (`callers.scripted`): they
answer late, twice, in part, with another's id, with none, with bytes that are no answer; they fall silent,
close or reset at any byte, or close just as the next request comes.  Between them is the code that is
deployed.  Watched is that

- a client gets the whole answer to its own request or none: no success is another's, cut short or doubled,
  and no byte comes that belongs to no request;
- what is `unsafe` is run by all servers together at most once for each try of its client, what is `safe`, and
  whatever is turned away, comes to servers at most as often as its route says;
- a status that promises that a request has not run is given to none that a server has run, then or later;
- what the reserve hands out counts once, for the tenant that it was asked for, in the life of the gateway that
  asked;
- an answer of the control side is to the call in whose turn it comes, and what it says holds.

A sweep plays every byte of one message with one fault; which it is goes by the seed.
All times are seconds of virtual time.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from crowseam import settings as settings_file
from crowseam.gateway import daemon
from crowseam.model_checks.callers.mutants import mutants
from crowseam.model_checks.callers.scripted import (
    CONTROLLER,
    FAULTS,
    GATEWAY,
    LARGE,
    LEFT,
    NOISE,
    SERVERS,
    Asking,
    CallerEnd,
    ClientEnd,
    Plan,
    Registrar,
    Scene,
    ServerEnd,
    Teller,
    drawn,
    request,
)
from crowseam.model_checks.schedules import Report, Violation, play
from crowseam.simulator.memory_controller import MemoryController
from crowseam.simulator.world.disk import DiskImage
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.patches import simulated_environment as worn
from fennelpoint.net.flow import STREAM_STALL_TIMEOUT_S

STEPS = 40  # requests, or calls, of a random schedule
SWEEP_EACH = 4  # one schedule of so many is a sweep, one is of the control side
CALLS = ("unknown", "heartbeat", "drain", "drain", "leave", "retire", "look", "look", "read", "change")
STRIDE = 8  # a sweep plays each so-manieth byte; the seed says which


# A schedule before the gateway


class BeforeGateway:
    """The real gateway between scripted clients, servers and a scripted controller."""

    def __init__(self, seed: int, steps: int) -> None:
        self.seed, self.steps = seed, steps
        scene = self.world = Scene(seed)
        self.rng = scene.random("schedule")
        self.plans: dict[str, Plan] = {}  # by attempt, or by (server, attempt) once drawn
        self.drawn: dict[tuple[str, str], Plan] = {}
        self.registrar: Registrar | None = None
        self.daemon: daemon.Process | None = None
        self.lives = 0
        self.lent: Counter = Counter()
        self.ends: list[ClientEnd] = []
        self.clients = scene.network.process("clients", "10.9.0.1")
        self.kinds = ("safe", "safe", "once", "once", "kept")
        self.heavy = self.rng.random() < 0.15

    def plan(self, server: str, attempt: str) -> Plan:
        """What a server does with an attempt: as told, else as drawn, the same each time it is asked."""
        if (told := self.plans.get(attempt)) is not None:
            return told
        if (server, attempt) not in self.drawn:
            plan = drawn(self.rng)
            if self.heavy and self.rng.random() < 0.7:
                # Large answers that take long: two attempts' are on their way at once.
                plan = Plan(after=self.rng.choice((0.0, 0.1)), size=2 * LARGE, pieces=5, pause=0.1)
            self.drawn[server, attempt] = plan
        return self.drawn[server, attempt]

    def play(self) -> None:
        """Play it to its end; raises Violation."""
        with worn(self.world, self.world.say):
            self._begin()
            self.world.run(0.6)
            if self.daemon.reader.table is None:
                raise Violation("the gateway has no configuration")
            self._acts()
            self.world.settle()
            self._settle_gateway()
        self._settle_draws()

    def _settle_gateway(self) -> None:
        """Once all clients have gone and all time is up, the gateway holds nothing for anybody."""
        for end in self.ends:
            if end.usable:
                end.leave()
        one = self.daemon.gateway
        for span in (2.0, STREAM_STALL_TIMEOUT_S + 1.0):
            # A large body whose peer says nothing more is waited for longer than a client waits.
            self.world.run(self.world.now + span)
            held = one.in_flight or one.open_ids or one.backends.budget.used
            if not held:
                break
        if held:
            raise Violation(
                f"the gateway still holds {len(one.in_flight)} requests, {len(one.open_ids)} ids and "
                f"{one.backends.budget.used} bytes"
            )

    def _begin(self) -> None:
        scene = self.world
        for at, name in enumerate(SERVERS):
            process = scene.network.process(name, f"10.1.0.{at + 1}")
            scene.network.listen(process, lambda name=name: ServerEnd(scene, name, self.plan), process.ip, 8080)
        self.registrar = Registrar(scene)
        self.start()

    def start(self) -> None:
        """The gateway starts, as a new life where it ran before."""
        self.lives += 1
        # Clocks of later lives say more, as those of a machine do.
        process = self.world.network.process(f"gateway/{self.lives}", GATEWAY, 0.00002, offset=1000.0)
        self.process = process
        settings = settings_file.Settings(
            hostname="d",
            ip=GATEWAY,
            az="z",
            port_range=(7660, 7675),
            seeds=[f"{CONTROLLER}:8407"],
            bind=settings_file.Bind(http=f"{GATEWAY}:8405", readyz=f"{GATEWAY}:8406"),
            role="gateway",
            limits=settings_file.Limits(mem_mb=300, nofile=4000),
        )
        self.world.schedule(self.world.now, process, self._start, (process, settings))

    def _start(self, process: Any, settings: settings_file.Settings) -> None:
        self.daemon = one = daemon.Process(process.loop, settings, self.world.random(f"gateway/{self.lives}"))
        life, lend = one.controller_session.incarnation, one.gateway.admission.add_reserve_grant

        def lent(tenant: str, count: int) -> None:
            self.lent[life, tenant] += count
            lend(tenant, count)

        one.gateway.admission.add_reserve_grant = lent
        process.loop.create_task(one.start())

    def kill(self) -> None:
        """The gateway is killed, and starts again a while later."""
        self.world.network.process_ended(self.process)
        self.world.later(self.rng.choice((0.01, 0.2)), self.start)

    def stop(self) -> None:
        """The gateway is told to stop, ends once nobody waits, or its grace is over, and starts again."""
        process, one = self.process, self.daemon

        def ended(_: object) -> None:
            one.close()
            self.world.network.process_ended(process)
            self.world.later(0.01, self.start)

        process.loop.call_soon(one.stop)
        one.stopped.add_done_callback(ended)

    def _settle_draws(self) -> None:
        for who, count in self.lent.items():
            if count > (units := self.registrar.units(*who)):
                raise Violation(f"{who[1]} was handed {units} requests out of the reserve and counts {count}")

    # Requests

    def connect(self, made: Callable[[ClientEnd], None]) -> None:
        """Open a client's connection."""
        end = ClientEnd(self.world)
        self.ends.append(end)
        future = self.clients.loop.create_future()
        future.add_done_callback(lambda f: made(end) if not f.cancelled() and f.exception() is None else None)
        self.world.network.dial(self.clients, lambda: end, GATEWAY, 8405, future)

    def send(self, end: ClientEnd, data: bytes, pieces: int = 1) -> None:
        """Write in pieces, some milliseconds apart."""
        size = max(1, -(-len(data) // pieces))
        for number in range(-(-len(data) // size)):
            part = data[number * size : (number + 1) * size]
            self.world.later(0.002 * number, end.write, part)

    def _acts(self) -> None:
        world, rng = self.world, self.rng
        walkers = rng.choice((1, 2, 4, 8))
        if lending := rng.random() < 0.25:
            self.kinds = ("kept",) * 6 + ("safe",)
        each = max(1, self.steps // walkers)
        for _ in range(walkers):
            world.later(rng.uniform(0.0, 0.1), self._walk, each)
        if rng.random() < (0.7 if lending else 0.4):
            world.later(rng.uniform(0.1, 1.0), rng.choice((self.kill, self.kill, self.stop)))
        if rng.random() < 0.5:
            world.later(rng.uniform(0.0, 1.0), self.registrar.drop)
        world.run(world.now + 3.0 + 0.1 * each)

    def _walk(self, left: int) -> None:
        """A client asks on one connection until that is closed, then on another."""
        if left > 0:
            self.connect(lambda end: self._ask(end, left))

    def _ask(self, end: ClientEnd, left: int) -> None:
        rng, world = self.rng, self.world
        if left <= 0:
            return
        if not end.usable:
            return self._walk(left)
        count = min(left, rng.choice((1, 1, 1, 2, 4)))
        data = b""
        for number in range(count):
            attempt = world.name(rng.choice(self.kinds))
            expect = count == 1 and rng.random() < 0.15
            head, body = request(
                attempt,
                rng.choice((LEFT, LEFT, 0.3)),
                rng.choice(("length", "chunked")),
                rng.choice((0, 0, 0, 300, LARGE)) if number == count - 1 else 0,
                expect,
            )
            end.asked.append(attempt)
            if expect and body:
                end.held.append(body)
                body = b""
            data += head + body
        waits = count

        def answered(keep: bool) -> None:
            nonlocal waits
            waits -= 1
            if not waits or not keep:
                end.answered = lambda keep: None  # each turn is followed by one
            if not end.usable or not keep:
                end.left = True
                world.later(rng.choice((0.0, 0.01)), self._walk, left - count)
            elif not waits:
                world.later(rng.choice((0.0, 0.001, 0.004, 0.035, 0.07)), self._ask, end, left - count)

        end.answered = answered
        act = rng.choice(("stay",) * 9 + ("leave", "half", "part"))
        if act == "part":
            data = data[: rng.randrange(len(data))]
            if rng.random() < 0.3:
                end.noisy = True
                world.garbled.update(end.asked)
                data += NOISE
        self.send(end, data, rng.choice((1, 1, 2, 6)))
        if act in ("leave", "part"):
            world.later(rng.choice((0.003, 0.02, 0.3)), self._leave, end, left - count, answered)
        elif act == "half":
            world.later(0.02, lambda: end.transport.write_eof() if end.usable else None)

    def _leave(self, end: ClientEnd, left: int, turn: Callable[[bool], None]) -> None:
        if end.usable and end.answered is turn:
            end.answered = lambda keep: None
            end.leave(self.rng.random() < 0.5)
            self._walk(left)


class Sweep(BeforeGateway):
    """Each byte of an answer, or of a request, with one fault; a second request follows on the connection."""

    def __init__(self, seed: int, stride: int = STRIDE) -> None:
        super().__init__(seed, 0)
        place = seed // SWEEP_EACH
        self.fault = FAULTS[place % len(FAULTS)]
        place //= len(FAULTS)
        self.kind, place = ("once", "safe")[place % 2], place // 2
        self.side, place = ("answer", "answer chunked", "request")[place % 3], place // 3
        self.stride, self.first = stride, place % stride

    def plan(self, server: str, attempt: str) -> Plan:
        """As told; what is not the one under fault is answered."""
        return self.plans.get(attempt) or Plan()

    def _acts(self) -> None:
        world = self.world
        size = len(
            ServerEnd(world, "", self.plan).answer(
                "once-0001-000000", "once-0001-000000", chunked=self.side != "answer"
            )
        )
        if self.side == "request":
            size = sum(map(len, request("once-0001-000000")))
        at = 0.0
        for byte in range(self.first, size + 1, self.stride):
            # Side by side, so that connections are used in turn by those that fail and those that don't.
            world.later(at, self.connect, lambda end, byte=byte: self._one(end, byte))
            at += 0.04
        world.run(world.now + at + 2.5)

    def _one(self, end: ClientEnd, byte: int) -> None:
        world = self.world
        attempt, follows = world.name(self.kind), world.name("safe")
        data = b"".join(request(attempt))
        end.asked.append(attempt)
        if self.side == "request":
            end.transport.write(data[:byte])
            if self.fault == "garbage":
                end.noisy = True
                world.garbled.add(attempt)
                end.transport.write(NOISE)
            elif self.fault == "rest late":
                world.later(0.3, lambda: end.transport.write(data[byte:]) if end.usable else None)
            elif self.fault in ("reset", "close"):
                world.later(0.0 if byte % 2 else 0.003, end.leave, self.fault == "reset")
            return
        self.plans[attempt] = Plan(
            "cut", cut=byte, fault=self.fault, chunked=self.side != "answer", again=0.0 if byte % 2 else 0.004
        )

        def more(keep: bool) -> None:
            end.answered = lambda keep: None
            if keep and end.usable:
                end.asked.append(follows)
                end.transport.write(b"".join(request(follows)))

        end.answered = more
        end.transport.write(data)


# A schedule before the control side


class BeforeControl:
    """The real controllers between scripted callers and a scripted gateway; they are killed, cut off, frozen."""

    IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")

    def __init__(self, seed: int, steps: int) -> None:
        self.seed, self.steps = seed, steps
        scene = self.world = Scene(seed)
        self.rng = scene.random("schedule")
        self.callers = scene.network.process("callers", "10.9.0.1")
        self.disk_images = [DiskImage(scene.random(f"disk_image/{ip}")) for ip in self.IPS]
        self.controllers: dict[str, Any] = {}
        self.processes: dict[str, Any] = {}
        self.lives = Counter()
        self.had: dict[str, set[tuple[str, str]]] = {}  # by server: what killed controllers held
        self.acked = self.tried = 0  # versions
        self.seq = 0
        self.busy: dict[str, int] = {}

    def play(self) -> None:
        """Play it to its end; raises Violation."""
        world, rng = self.world, self.rng
        with worn(world, world.say):
            for ip in self.IPS:
                self.start(ip, True)
            Teller(world, "teller", "10.8.0.1", 7, self.busy)
            world.run(1.5)
            each = max(1, self.steps // 4)
            for _ in range(4):
                world.later(rng.uniform(0.0, 0.2), self._walk, each)
            for _ in range(rng.choice((0, 1, 3))):
                world.later(rng.uniform(0.1, 2.0), self._trouble)
            world.run(world.now + 6.0)
            world.settle()

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """A controller starts, on the disk it had."""
        self.lives[ip] += 1
        process = self.processes[ip] = self.world.network.process(f"{ip}/{self.lives[ip]}", ip, 0.00005, offset=100.0)
        settings = settings_file.Settings(
            hostname=ip,
            ip=ip,
            az="z",
            port_range=(7660, 7675),
            seeds=[f"{each}:8407" for each in self.IPS],
            bind=settings_file.Bind(ctl=f"{ip}:8407"),
            role="controller",
            bootstrap=bootstrap,
            voting=True,
            datadir="memory",
        )

        def begin() -> None:
            one = self.controllers[ip] = MemoryController(
                process, settings, self.disk_images[self.IPS.index(ip)], self.world.random(f"{ip}/{self.lives[ip]}")
            )
            process.loop.create_task(one.start())

        process.loop.call_soon(begin)

    def _trouble(self) -> None:
        world, rng = self.world, self.rng
        ip = rng.choice(self.IPS)
        act, span = rng.choice(("kill", "cut", "freeze", "hang")), rng.choice((0.05, 0.3, 0.8))
        if act == "kill" and len(self.controllers) == len(self.IPS):
            one = self.controllers.pop(ip)
            for record in one.registry.records(one.now()):
                self.had.setdefault(record.id, set()).add((ip, record.phase))
            world.network.process_ended(self.processes[ip])
            one.disk.crash()
            world.later(span, self.start, ip)
        elif act == "cut":
            trouble = LinkFault(frozenset([ip]), frozenset(set(self.IPS) - {ip}), cut=True)
            world.network.link_faults.append(trouble)
            world.later(span, self._heal, trouble)
        elif act == "freeze":
            process = self.processes[ip]
            process.frozen = True
            world.later(span, process.thaw)
        elif act == "hang":
            self.disk_images[self.IPS.index(ip)].hangs_until = world.now + span

    def _heal(self, trouble: LinkFault) -> None:
        self.world.network.link_faults.remove(trouble)
        self.world.network.resume_links()

    # Calls

    def _walk(self, left: int) -> None:
        if left <= 0:
            return
        world, rng = self.world, self.rng
        ip, end = rng.choice(self.IPS), CallerEnd(world)
        made = self.callers.loop.create_future()

        def up(future: asyncio.Future) -> None:
            if future.exception() is None:
                self._ask(end, ip, left)
            else:
                world.later(0.05, self._walk, left - 1)

        made.add_done_callback(up)
        world.network.dial(self.callers, lambda: end, ip, 8407, made)

    def _ask(self, end: CallerEnd, ip: str, left: int) -> None:
        world, rng = self.world, self.rng
        if left <= 0 or not end.usable:
            return self._walk(left)
        count = min(left, rng.choice((1, 1, 2, 4, 6)))
        asked = [self._call(ip) for _ in range(count)]
        end.asked.extend(asked)
        data = b"".join(each.data for each in asked)

        def over() -> None:
            end.over = lambda: None
            world.later(rng.choice((0.0, 0.01, 0.1)), self._ask, end, ip, left - count)

        end.over = over
        act = rng.choice(("stay",) * 7 + ("leave", "leave", "part", "half"))
        if act == "part":
            data = data[: rng.randrange(len(data))]
            if rng.random() < 0.5:
                end.noisy = True
                data += NOISE
        size = max(1, -(-len(data) // rng.choice((1, 1, 3, 7))))
        for number in range(-(-len(data) // size)):
            part = data[number * size : (number + 1) * size]
            world.later(0.001 * number, end.write, part)
        if act in ("leave", "part"):
            world.later(rng.choice((0.002, 0.006, 0.02, 0.2)), self._leave, end, over)
        elif act == "half":
            world.later(0.02, lambda: end.transport.write_eof() if end.usable else None)

    def _leave(self, end: CallerEnd, turn: Callable[[], None]) -> None:
        if end.over is turn and end.usable:
            end.transport.reset_on_close = self.rng.random() < 0.5
            end.transport.abort()

    def _call(self, ip: str) -> Asking:
        rng = self.rng
        kind = rng.choice(CALLS)
        self.seq += 1
        ident = f"i-{self.seq if kind == 'heartbeat' else rng.randrange(1, max(2, self.seq))}"
        if kind == "unknown":
            token = f"{rng.getrandbits(40):010x}"
            return self._asking(kind, ip, "GET", f"/x/{token}", b"", {404: token.encode()})
        if kind in ("heartbeat", "drain"):
            phase = "up" if kind == "heartbeat" else "draining"
            body = msgspec.json.encode(
                {
                    "addr": "10.1.0.1:8080",
                    "summary": {"svc": "s", "ver": "v", "az": "z", "slots": 4},
                    "stat": {"phase": phase, "seq": self.seq, "warmup_time": "0ms"},
                }
            )
            held = self._held(ident, ("draining", "gone")) if kind == "drain" else None
            return self._asking(kind, ip, "PUT", f"/-/backends/{ident}", body, {200: b"{}"}, held)
        if kind == "leave":
            return self._asking(
                kind, ip, "DELETE", f"/-/backends/{ident}", b"", {200: b"{}"}, self._held(ident, ("gone",))
            )
        if kind == "retire":
            body = msgspec.json.encode({"id": ident, "force": True})
            found = b'"found":["%b"]' % ident.encode()
            return self._asking(kind, ip, "POST", "/-/retire", body, {200: found})
        if kind == "look":
            if rng.random() < 0.5:
                self.busy[ident] = 1
            return self._asking(kind, ip, "GET", f"/-/retiring/{ident}", b"", {200: b'"servers":'}, self._looked(ident))
        if kind == "read":
            least = self.acked
            return self._asking(
                kind,
                ip,
                "GET",
                "/-/config",
                b"",
                {200: b'"ver"'},
                lambda body: int(msgspec.json.decode(body)["ver"], 16) >= least,
            )
        self.tried += 1
        ver, parent = self.tried, self.acked
        body = msgspec.json.encode({"ver": f"{ver:08x}", "parent": f"{parent:08x}", "objs": []})

        def taken(_: bytes) -> bool:
            self.acked = max(self.acked, ver)
            one = self.controllers.get(ip)
            return one is None or any(f"{ver:08x}" in str(each) for each in one.machine.history())

        return self._asking(kind, ip, "PUT", "/-/config", body, {200: b"{}"}, taken)

    def _asking(
        self,
        kind: str,
        ip: str,
        method: str,
        path: str,
        body: bytes,
        told: dict[int, bytes],
        holds: Callable[[bytes], bool] | None = None,
    ) -> Asking:
        """A call whose answer of such a status has these bytes in it, and for which `holds` says yes."""
        expects = bool(body) and self.rng.random() < 0.2
        lines = [f"{method} {path} HTTP/1.1", f"Host: {ip}", f"Content-Length: {len(body)}"]
        lines += ["Expect: 100-continue"] if expects else []

        def check(status: int, answer: bytes) -> None:
            word = told.get(status)
            if word is not None and (word not in answer or (word == b"{}" and answer != word)):
                self.world.wrong(f"{method} {path} was answered {status} with {answer[:80]!r}")
            elif status == 200 and word is None or status not in (200, 400, 404, 409, 412, 503):
                self.world.wrong(f"{method} {path} was answered {status}")
            elif status == 200 and holds is not None and not holds(answer):
                self.world.wrong(f"{method} {path} was answered 200, which does not hold: {answer[:80]!r}")

        return Asking(kind, "\r\n".join(lines).encode() + b"\r\n\r\n" + body, check, expects)

    def _held(self, ident: str, phases: tuple[str, ...]) -> Callable[[bytes], bool]:
        """Whether a majority has, or had when it was killed, this server as one that leaves."""

        def held(_: bytes) -> bool:
            have = {ip for ip, phase in self.had.get(ident, ()) if phase in phases}
            for ip, one in self.controllers.items():
                record = one.registry.get(ident, one.now())
                if record is not None and record.phase in phases:
                    have.add(ip)
            return len(have) > len(self.IPS) // 2

        return held

    def _looked(self, ident: str) -> Callable[[bytes], bool]:
        busy = ident in self.busy

        def looked(body: bytes) -> bool:
            # The scripted gateway's requests never end: what it has any at is safe in nobody's eyes.
            return all(
                row["id"] == ident and not (busy and row["safe"] and row["state"] != "gone")
                for row in msgspec.json.decode(body)["servers"]
            )

        return looked


def make(seed: int, steps: int = STEPS) -> Any:
    """The schedule of a seed."""
    if seed % SWEEP_EACH == 0:
        return Sweep(seed)
    if seed % SWEEP_EACH == 1:
        return BeforeControl(seed, steps)
    return BeforeGateway(seed, steps)


def run(seeds: Iterable[int], steps: int = STEPS) -> Report:
    """Play the schedule of each seed."""
    report = Report()
    play(seeds, lambda seed: make(seed, steps), report)
    return report


MUTANTS = mutants(run)
