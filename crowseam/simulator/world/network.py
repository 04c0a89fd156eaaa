"""Links in memory: connections with delay, cuts, silence, resets and bounded windows.

Bytes keep their order within a connection; where a link has a rate, those of all connections over it.
A cut or a machine without power is silent: what is sent waits, and is given up only by who set a time for it.
A process that ends closes its connections; who writes to one that is gone is reset.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from crowseam.simulator.world.loop import Process, World

WINDOW = 64 * 1024  # bytes that the kernel takes in for a peer that does not read
AGAIN = 0.2  # s, least until what a cut held up is sent again
KNOCK = 1.0  # s until the opening of a connection is sent again; doubles
HEAD = 60  # bytes that each packet has besides its data
PACKET = 16 * 1024  # bytes that go over a link with a rate in one piece


class SocketStub:
    """What protocols ask of a transport's socket: options, and whether something is there unread."""

    __slots__ = ("transport",)

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def setsockopt(self, level: int, name: int, value: object) -> None:
        if level == socket.IPPROTO_TCP and name == socket.TCP_USER_TIMEOUT:
            self.transport.user_timeout = value / 1000.0
        elif level == socket.SOL_SOCKET and name == socket.SO_LINGER:
            self.transport.resets = struct.unpack("ii", value) == (1, 0)

    def fileno(self) -> Transport:
        """Not a number: the poll of the simulator takes the transport itself."""
        return self.transport


class Poll:
    """`select.poll` over the transports of the simulator."""

    def __init__(self) -> None:
        self.watched: list[Transport] = []

    def register(self, transport: Transport, flags: int = 0) -> None:
        self.watched.append(transport)

    def poll(self, timeout: float = 0.0) -> list:
        return [(one, 1) for one in self.watched if one.unread or one.ended or one.closed]


class Select:
    """Stands in for the module `select`."""

    POLLIN, POLLRDHUP = 1, 0x2000
    poll = Poll


class Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: Network, process: Process, local: str, remote: str) -> None:
        super().__init__()
        self.network, self.process, self.local, self.remote = network, process, local, remote
        self.peer: Transport | None = None
        self.protocol: asyncio.BaseProtocol | None = None
        self.buffered = False
        self.closed = False  # by this end
        self.ended = False  # the other end sends no more
        self.wrote_end = False
        self.lost = False  # connection_lost is due or was called
        self.resets = False
        self.refused = False  # the other end was closed before it could read what was sent last
        self.paused = False
        self.unread: list[bytes] = []
        self.out = 0  # bytes sent that the peer has not read
        self.choked = False
        self.high, self.low = 64 * 1024, 16 * 1024
        self.user_timeout: float | None = None
        self.last_arrival = 0.0  # of what this end sent
        self.held: list[tuple[str, bytes]] = []  # what a cut keeps from going out
        self.held_since = 0.0
        self.doubted_since: float | None = None  # what was sent then arrived, and its receipt is cut off
        process.transports[self] = None

    # What protocols call

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol
        self.buffered = isinstance(protocol, asyncio.BufferedProtocol)
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: object = None) -> object:
        if name == "socket":
            return SocketStub(self)
        if name in ("peername", "sockname"):
            host, _, port = (self.remote if name == "peername" else self.local).rpartition(":")
            return host, int(port)
        return default

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return max(0, self.out - WINDOW)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = 64 * 1024 if high is None else high
        self.low = self.high // 4 if low is None else low

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        if self.paused:
            self.paused = False
            if self.unread:
                self.process.world.at(self.process.world.now, self.process, self._read)

    def is_reading(self) -> bool:
        return not self.paused

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: bytes) -> None:
        if self.closed or self.wrote_end or not data:
            return
        data = bytes(data)
        self.out += len(data)
        self.network.carry(self, "data", data)
        if not self.choked and self.get_write_buffer_size() > self.high:
            self.choked = True
            self.protocol.pause_writing()

    def writelines(self, lines: list[bytes]) -> None:
        self.write(b"".join(lines))

    def write_eof(self) -> None:
        if not (self.closed or self.wrote_end):
            self.wrote_end = True
            self.network.carry(self, "end", b"")

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.network.carry(self, "reset" if self.unread or self.resets else "end", b"")
            self._lose(None)

    def abort(self) -> None:
        if not self.lost:
            if not self.closed:
                self.closed = True
                self.network.carry(self, "reset" if self.unread or self.resets else "end", b"")
            self._lose(None)

    def _lose(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = self.closed = True
            self.process.transports.pop(self, None)
            world = self.process.world
            world.at(world.now, self.process, self._lost, (error,))

    def _lost(self, error: Exception | None) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connection_lost(error)

    # What the network calls, in the process that this end belongs to

    def arrive(self, kind: str, data: bytes) -> None:
        if self.closed or not self.process.alive:
            if kind == "data":
                self.network.answer_reset(self)
            return
        if kind == "data":
            self.unread.append(data)
            if not self.paused:
                self._read()
        elif kind == "end":
            self.ended = True
            if not self.unread:
                self._end()
        else:
            self._lose(ConnectionResetError(errno.ECONNRESET, "reset by peer"))

    def _read(self) -> None:
        while self.unread and not (self.paused or self.closed):
            data = self.unread.pop(0)
            if self.peer is not None:
                self.peer.taken(len(data))
            if not self.buffered:
                self.protocol.data_received(data)
                continue
            at = 0
            while at < len(data) and not self.closed:
                if self.paused:
                    self.unread.insert(0, data[at:])
                    break
                room = self.protocol.get_buffer(-1)
                count = min(len(room), len(data) - at)
                room[:count] = data[at : at + count]
                at += count
                self.protocol.buffer_updated(count)
        if self.ended and not self.unread and not self.closed:
            self._end()

    def _end(self) -> None:
        if not self.protocol.eof_received():
            self.close()

    def taken(self, size: int) -> None:
        """The peer has read so many bytes."""
        self.out -= size
        if self.choked and not self.closed and self.get_write_buffer_size() <= self.low:
            self.choked = False
            world = self.process.world
            world.at(world.now, self.process, self._resume)

    def _resume(self) -> None:
        if self.protocol is not None and not self.closed:
            self.protocol.resume_writing()


@dataclass
class Listener:
    """A listening socket."""

    network: Network
    process: Process
    factory: Callable
    host: str
    port: int

    def close(self) -> None:
        if self.process.listeners.get(self.port) is self:
            del self.process.listeners[self.port]
            self.network.listeners.pop((self.host, self.port), None)

    def is_serving(self) -> bool:
        return self.process.listeners.get(self.port) is self


@dataclass
class Trouble:
    """One harm to links: between `one` and `other` (addresses; None: all others).

    `way` of a cut: "both"; "out", only what `one` sends is lost; "in", only what it is sent.
    """

    one: frozenset[str]
    other: frozenset[str] | None = None
    cut: bool = False
    way: str = "both"
    delay: float = 0.0  # s on top, one way
    loss: float = 0.0  # chance that a packet has to be sent again

    def touches(self, a: str, b: str) -> bool:
        if a in self.one and b in self.one and self.other is None:
            return False  # those that are cut off together still see each other
        if self.other is None:
            return a in self.one or b in self.one
        return (a in self.one and b in self.other) or (b in self.one and a in self.other)

    def blocks(self, a: str, b: str) -> bool:
        """Whether what `a` sends to `b` is lost."""
        if not (self.cut and self.touches(a, b)):
            return False
        return self.way == "both" or (a in self.one) == (self.way == "out")


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
        self.last_port = 20000

    def process(self, name: str, ip: str, cost: float = 0.0, **clock: float) -> Process:
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
                while t.loss and tries < 4 and self.rng.random() < t.loss:
                    delay += AGAIN * 2**tries
                    tries += 1
        return delay

    # Connections

    def listen(self, process: Process, factory: Callable, host: str, port: int) -> Listener:
        if (host, port) in self.listeners:
            raise OSError(errno.EADDRINUSE, f"{host}:{port} is taken")
        listener = Listener(self, process, factory, host, port)
        self.listeners[host, port] = process.listeners[port] = listener
        return listener

    def dial(
        self, process: Process, factory: Callable, host: str, port: int, made: asyncio.Future, pause: float = KNOCK
    ) -> None:
        """Open a connection; `made` gets (transport, protocol) or the error."""
        world = self.world
        if made.done() or not process.alive:
            return
        if self.parted(process.ip, host):
            world.at(world.now + pause, process, self.dial, (process, factory, host, port, made, 2 * pause))
            return
        there = self.lag(process.ip, host)
        world.at(world.now + there, world.outside, self._knock, (process, factory, host, port, made, pause))

    def _knock(
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
        self.last_port = 20000 + (self.last_port - 19999) % 40000
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
            sender.held_since = self.world.now
            self.waiting[sender] = None
            if sender.user_timeout is not None:
                self.world.at(
                    self.world.now + sender.user_timeout, self.world.outside, self._overdue, (sender, self.world.now)
                )
        sender.held.append((kind, data))

    def _deliver(self, sender: Transport, kind: str, data: bytes, after: float) -> None:
        a, b = sender.process.ip, sender.peer.process.ip
        rate = self.rate(a, b) if self.rate is not None else None
        if rate is None:
            return self._arrive(sender, kind, data, after)
        for at in range(0, max(1, len(data)), PACKET):
            piece = data[at : at + PACKET]
            begin = max(self.world.now + after, self.free.get((a, b), 0.0))
            self.free[a, b] = begin + (len(piece) + HEAD) / rate
            self.carried[a, b] = self.carried.get((a, b), 0) + len(piece) + HEAD
            self._arrive(sender, kind, piece, self.free[a, b] - self.world.now)

    def _arrive(self, sender: Transport, kind: str, data: bytes, after: float) -> None:
        peer, world = sender.peer, self.world
        a, b = sender.process.ip, peer.process.ip
        if self.zone(a) != self.zone(b):
            self.bytes_between += len(data) + HEAD
        when = sender.last_arrival = max(world.now + after + self.lag(a, b), sender.last_arrival)
        if peer.process.alive:
            world.at(when, peer.process, peer.arrive, (kind, data))
        elif kind == "data":
            world.at(when, world.outside, self.answer_reset, (peer,))

    def answer_reset(self, gone: Transport) -> None:
        """Data has come for an end that is no more: the sender is told, if its way back is free."""
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
            held, sender.held = sender.held, []
            # The longer it was cut, the longer the pause before it is sent once more.
            after = AGAIN + min(2.0, 0.5 * (world.now - sender.held_since)) * self.rng.random()
            if sender.process.alive or sender.process.ip not in self.off:
                for kind, data in held:
                    self._deliver(sender, kind, data, after)

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
