"""Links in memory: connections with delay, cuts, silence, resets and bounded windows.

Bytes keep their order within a connection; where a link has a rate, those of all connections over it.
A cut or a machine without power is silent: what is sent waits, and is given up only by who set a time for it.
A process that ends closes its connections; who writes to one that is gone is reset.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass

from crowseam.simulator.world.link_faults import Trouble
from crowseam.simulator.world.loop import Process, World
from crowseam.simulator.world.transport import Resend, Transport

RETRANSMIT = 0.2  # s, least until what a cut held up is sent again
RETRANSMIT_RANDOM_MOST = 2.0  # s, most of the random part of that pause
CONNECT_RETRY = 1.0  # s until the opening of a connection is sent again; doubles
PACKET_HEADER = 60  # bytes that each packet has besides its data
PACKET_SIZE = 16 * 1024  # bytes that go over a link with a rate in one piece
RESENDS_MOST = 4  # times that a lost packet is sent again
FIRST_PORT, PORTS = 20_000, 40_000  # of the ends that dial


@dataclass
class Listener:
    """A listening socket."""

    network: Network
    process: Process
    factory: Callable
    host: str
    port: int

    def close(self) -> None:
        """Stop listening."""
        if self.process.listeners.get(self.port) is self:
            del self.process.listeners[self.port]
            self.network.listeners.pop((self.host, self.port), None)

    def is_serving(self) -> bool:
        """Whether it still listens."""
        return self.process.listeners.get(self.port) is self


class Network:
    """All machines' links."""

    def __init__(self, world: World, delay: Callable[[str, str], float], zone: Callable[[str], str]) -> None:
        self.world, self.delay, self.zone = world, delay, zone
        self.rng = world.random("network")
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.off: set[str] = set()  # machines without power
        self.troubles: list[Trouble] = []
        self.waiting: dict[Transport, None] = {}
        self.doubted: dict[Transport, None] = {}
        self.bytes_between = 0
        self.rate: Callable[[str, str], float | None] | None = None  # bytes/s from a to b; None: no bound
        self.free: dict[tuple[str, str], float] = {}  # when a link with a rate has sent all it was given
        self.carried: dict[tuple[str, str], int] = {}  # bytes over links with a rate
        self.opened = 0
        self.last_port = FIRST_PORT

    def process(self, name: str, ip: str, cost: float = 0.0, **clock: float) -> Process:
        """A new process at an address; `cost`: s of the processor that a callback takes."""
        process = Process(self.world, name, ip, cost, **clock)
        process.loop.network = self
        return process

    def blocked(self, a: str, b: str) -> bool:
        """Whether packets from `a` to `b` are lost. Cuts may go one way only."""
        if self.off and (a in self.off or b in self.off):
            return True
        return any(t.blocks(a, b) for t in self.troubles)

    def parted(self, a: str, b: str) -> bool:
        """Whether packets are lost one way or the other: no connection comes up between the two."""
        return self.blocked(a, b) or self.blocked(b, a)

    def lag(self, a: str, b: str) -> float:
        """How long a packet takes, in s."""
        delay = self.delay(a, b) * (1.0 + 0.1 * self.rng.random())
        for t in self.troubles:
            if not t.cut and t.touches(a, b):
                delay += t.delay * (0.5 + self.rng.random())
                tries = 0
                while t.loss and tries < RESENDS_MOST and self.rng.random() < t.loss:
                    delay += RETRANSMIT * 2**tries
                    tries += 1
        return delay

    # Connections

    def listen(self, process: Process, factory: Callable, host: str, port: int) -> Listener:
        """Listen at an address. Raises OSError where another does."""
        if (host, port) in self.listeners:
            raise OSError(errno.EADDRINUSE, f"{host}:{port} is taken")
        listener = Listener(self, process, factory, host, port)
        self.listeners[host, port] = process.listeners[port] = listener
        return listener

    def dial(
        self,
        process: Process,
        factory: Callable,
        host: str,
        port: int,
        made: asyncio.Future,
        pause: float = CONNECT_RETRY,
    ) -> None:
        """Open a connection; `made` gets (transport, protocol) or the error."""
        world = self.world
        if made.done() or not process.alive:
            return
        if self.parted(process.ip, host):
            world.at(world.now + pause, process, self.dial, (process, factory, host, port, made, 2 * pause))
            return
        there = self.lag(process.ip, host)
        world.at(
            world.now + there, world.outside, self._request_connection, (process, factory, host, port, made, pause)
        )

    def _request_connection(
        self, process: Process, factory: Callable, host: str, port: int, made: asyncio.Future, pause: float
    ) -> None:
        world = self.world
        if self.parted(process.ip, host):
            world.at(world.now + pause, process, self.dial, (process, factory, host, port, made, 2 * pause))
            return
        listener = self.listeners.get((host, port))
        back = world.now + self.lag(process.ip, host)
        if listener is None:
            error = ConnectionRefusedError(errno.ECONNREFUSED, f"{host}:{port} refuses")
            world.at(back, process, _settle, (made, None, error))
            return
        self.last_port = FIRST_PORT + (self.last_port - FIRST_PORT + 1) % PORTS
        local = f"{process.ip}:{self.last_port}"
        self.opened += 1
        mine = Transport(self, process, local, f"{host}:{port}")
        theirs = Transport(self, listener.process, f"{host}:{port}", local)
        mine.peer, theirs.peer = theirs, mine
        world.at(world.now, listener.process, theirs.attach, (listener.factory(),))
        theirs.last_arrival = back
        world.at(back, process, self._made, (mine, factory, made))

    def _made(self, mine: Transport, factory: Callable, made: asyncio.Future) -> None:
        if made.done():
            mine.closed = mine.lost = True
            mine.process.transports.pop(mine, None)
            self.carry(mine, "end", b"")
            return
        protocol = factory()
        mine.attach(protocol)
        made.set_result((mine, protocol))

    def carry(self, sender: Transport, kind: str, data: bytes) -> None:
        """A packet goes out, or waits for its way to be free."""
        peer = sender.peer
        a, b = sender.process.ip, peer.process.ip
        if sender.held or ((self.off or self.troubles) and self.blocked(a, b)):
            return self._hold(sender, kind, data)
        if self.troubles and kind == "data" and self.blocked(b, a):
            self._unacknowledged(sender)
        self._deliver(sender, kind, data, 0.0)

    def _unacknowledged(self, sender: Transport) -> None:
        """What is sent arrives, and nothing that comes back says so: the sender gives up in its time."""
        if sender.doubted_since is None:
            sender.doubted_since = self.world.now
            self.doubted[sender] = None
            if sender.user_timeout is not None:
                self.world.at(
                    self.world.now + sender.user_timeout, self.world.outside, self._doubt_over, (sender, self.world.now)
                )

    def _doubt_over(self, sender: Transport, since: float) -> None:
        if sender.doubted_since == since and not sender.lost:
            self.doubted.pop(sender, None)
            sender._lose(TimeoutError(errno.ETIMEDOUT, "not acknowledged in time"))

    def _hold(self, sender: Transport, kind: str, data: bytes) -> None:
        if not sender.held:
            self._wait(sender, self.world.now)
        sender.held.append((kind, data))

    def _wait(self, sender: Transport, since: float) -> None:
        """What is sent waits for its way to be free, the first of it `since` then."""
        sender.held_since = since
        self.waiting[sender] = None
        if sender.user_timeout is not None:
            gives_up = max(self.world.now, since + sender.user_timeout)
            self.world.at(gives_up, self.world.outside, self._overdue, (sender, since))

    def _deliver(self, sender: Transport, kind: str, data: bytes, after: float) -> None:
        a, b = sender.process.ip, sender.peer.process.ip
        rate = self.rate(a, b) if self.rate is not None else None
        if rate is None:
            return self._arrive(sender, kind, data, after)
        for at in range(0, max(1, len(data)), PACKET_SIZE):
            piece = data[at : at + PACKET_SIZE]
            begin = max(self.world.now + after, self.free.get((a, b), 0.0))
            self.free[a, b] = begin + (len(piece) + PACKET_HEADER) / rate
            self.carried[a, b] = self.carried.get((a, b), 0) + len(piece) + PACKET_HEADER
            self._arrive(sender, kind, piece, self.free[a, b] - self.world.now)

    def _arrive(self, sender: Transport, kind: str, data: bytes, after: float) -> None:
        peer, world = sender.peer, self.world
        a, b = sender.process.ip, peer.process.ip
        if self.zone(a) != self.zone(b):
            self.bytes_between += len(data) + PACKET_HEADER
        when = sender.last_arrival = max(world.now + after + self.lag(a, b), sender.last_arrival)
        if peer.process.alive:
            arrival = world.at(when, peer.process, peer.arrive, (kind, data))
        elif kind == "data":
            arrival = world.at(when, world.outside, self.answer_reset, (peer,))
        else:
            return
        if sender.resend is not None:
            sender.resend.packets.append((arrival, kind, data))

    def answer_reset(self, gone: Transport) -> None:
        """Data has arrived for an end that is closed: reset the sender, unless the way back is cut."""
        sender, world = gone.peer, self.world
        sender.refused = True
        if sender.process.alive and not sender.lost and not self.blocked(gone.process.ip, sender.process.ip):
            world.at(
                world.now + self.lag(gone.process.ip, sender.process.ip), sender.process, sender.arrive, ("reset", b"")
            )

    def _overdue(self, sender: Transport, since: float) -> None:
        if sender.held and sender.held_since == since and not sender.lost:
            sender.held.clear()
            self.waiting.pop(sender, None)
            sender._lose(TimeoutError(errno.ETIMEDOUT, "not acknowledged in time"))

    def look(self) -> None:
        """Links have changed: what waited goes on where it can."""
        world = self.world
        for sender in list(self.doubted):
            if sender.lost or not self.blocked(sender.peer.process.ip, sender.process.ip):
                del self.doubted[sender]
                sender.doubted_since = None
        for sender in list(self.waiting):
            if self.blocked(sender.process.ip, sender.peer.process.ip):
                continue
            del self.waiting[sender]
            self._take_back(sender)
            held, sender.held = sender.held, []
            # The longer it was cut, the longer the pause before it is sent once more.
            after = RETRANSMIT + min(RETRANSMIT_RANDOM_MOST, 0.5 * (world.now - sender.held_since)) * self.rng.random()
            if sender.process.alive or sender.process.ip not in self.off:
                sender.resend = Resend(sender.held_since)
                for kind, data in held:
                    self._deliver(sender, kind, data, after)
                world.at(world.now + after, world.outside, self._send_again, (sender, sender.resend))

    def _send_again(self, sender: Transport, resend: Resend) -> None:
        """What was held goes out now, unless its way has been cut anew: then it waits on."""
        if sender.resend is not resend:
            return
        if not self.blocked(sender.process.ip, sender.peer.process.ip):
            sender.resend = None
            return
        self._take_back(sender)
        if sender.held:
            self._wait(sender, sender.held_since)

    def _take_back(self, sender: Transport) -> None:
        """What was to be sent again is held, before all that was held since."""
        resend, sender.resend = sender.resend, None
        if resend is None:
            return
        for arrival, _, _ in resend.packets:
            arrival.cancel()
        sender.held[:0] = [(kind, data) for _, kind, data in resend.packets]
        sender.held_since = resend.held_since

    # Ends of processes and machines

    def ended(self, process: Process, silently: bool = False) -> None:
        """The process is gone; its connections are closed, unless its machine has lost power."""
        process.die()
        for key in [key for key, listener in self.listeners.items() if listener.process is process]:
            del self.listeners[key]
        for transport in list(process.transports):
            already = transport.closed
            transport.closed = transport.lost = True
            transport.protocol = None
            self.waiting.pop(transport, None)
            if silently:
                self._take_back(transport)
                transport.held.clear()
                peer = transport.peer
                if peer.process.alive and not peer.lost and peer.last_arrival > self.world.now:
                    self._hold(peer, "data", b"")  # what is on its way is sent again and again
            elif not already:
                self.carry(transport, "reset" if transport.unread else "end", b"")
        process.transports.clear()


def _settle(made: asyncio.Future, result: object, error: Exception | None) -> None:
    if made.done():
        return
    if error is not None:
        made.set_exception(error)
    else:
        made.set_result(result)
