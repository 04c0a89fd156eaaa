"""One end of a connection in memory, as asyncio's transports are, and what the network code asks of its socket."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from dataclasses import dataclass, field
from typing import Protocol

from crowseam.simulator.world.loop import Handle, Process

KERNEL_BUFFER = 64 * 1024  # bytes that the kernel takes in for a peer that does not read
HIGH_WATER = 64 * 1024  # bytes of the write buffer above which the protocol is paused


class PacketCarrier(Protocol):
    """What a transport needs of the network that carries its packets."""

    def carry(self, sender: Transport, kind: str, data: bytes) -> None:
        """Send a packet of a kind ("data", "end" or "reset") to the peer of `sender`."""

    def answer_reset(self, gone: Transport) -> None:
        """Reset the peer of `gone`, as its data came for an end that is closed."""


@dataclass(eq=False)
class Resend:
    """Packets that a cut held up and that go out once more, with those behind them."""

    held_since: float  # s, since when the first of them waits
    packets: list[tuple[Handle, str, bytes]] = field(default_factory=list)  # arrival, kind, data


class SocketStub:
    """What protocols ask of a transport's socket: options, and whether something is there unread."""

    __slots__ = ("transport",)

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def setsockopt(self, level: int, name: int, value: object) -> None:
        """Take the options that matter here: TCP_USER_TIMEOUT (ms), and SO_LINGER for a reset."""
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
        """Watch a transport."""
        self.watched.append(transport)

    def poll(self, timeout: float = 0.0) -> list:
        """The watched transports that have something to read, or have ended."""
        return [(one, 1) for one in self.watched if one.unread or one.ended or one.closed]


class Select:
    """Replaces the module `select`."""

    POLLIN, POLLRDHUP = 1, 0x2000
    poll = Poll


class Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: PacketCarrier, process: Process, local: str, remote: str) -> None:
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
        self.high, self.low = HIGH_WATER, HIGH_WATER // 4
        self.user_timeout: float | None = None
        self.last_arrival = 0.0  # of what this end sent
        self.held: list[tuple[str, bytes]] = []  # what a cut keeps from going out
        self.held_since = 0.0
        self.resend: Resend | None = None  # what was held and is not yet sent again
        self.doubted_since: float | None = None  # what was sent then arrived, and its receipt is cut off
        process.transports[self] = None

    # What protocols call

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        """The connection is up: it belongs to this protocol."""
        self.protocol = protocol
        self.buffered = isinstance(protocol, asyncio.BufferedProtocol)
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: object = None) -> object:
        """The socket, or an address as (host, port)."""
        if name == "socket":
            return SocketStub(self)
        if name in ("peername", "sockname"):
            host, _, port = (self.remote if name == "peername" else self.local).rpartition(":")
            return host, int(port)
        return default

    def is_closing(self) -> bool:
        """Whether this end is closed."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Bytes that were written and that the kernel has not taken in."""
        return max(0, self.out - KERNEL_BUFFER)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the sizes (bytes) at which the protocol is paused and resumed."""
        self.high = HIGH_WATER if high is None else high
        self.low = self.high // 4 if low is None else low

    def pause_reading(self) -> None:
        """Keep what comes until `resume_reading`."""
        self.paused = True

    def resume_reading(self) -> None:
        """Hand on what came meanwhile, and what comes."""
        if self.paused:
            self.paused = False
            if self.unread:
                self.process.world.at(self.process.world.now, self.process, self._read)

    def is_reading(self) -> bool:
        """Whether what comes is handed on."""
        return not self.paused

    def can_write_eof(self) -> bool:
        """Half-closes are possible."""
        return True

    def write(self, data: bytes) -> None:
        """Send bytes; the protocol is paused where too many wait."""
        if self.closed or self.wrote_end or not data:
            return
        data = bytes(data)
        self.out += len(data)
        self.network.carry(self, "data", data)
        if not self.choked and self.get_write_buffer_size() > self.high:
            self.choked = True
            self.protocol.pause_writing()

    def writelines(self, lines: list[bytes]) -> None:
        """Send bytes."""
        self.write(b"".join(lines))

    def write_eof(self) -> None:
        """Send no more, and go on reading."""
        if not (self.closed or self.wrote_end):
            self.wrote_end = True
            self.network.carry(self, "end", b"")

    def close(self) -> None:
        """Close this end; with unread bytes the peer is reset."""
        if not self.closed:
            self.closed = True
            self.network.carry(self, "reset" if self.unread or self.resets else "end", b"")
            self._lose(None)

    def abort(self) -> None:
        """Close this end at once."""
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
        """A packet of a kind ("data", "end" or "reset") has come."""
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
