"""Simulated asyncio transport, and stand-ins for the socket and `select` calls that the network code makes on it."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from dataclasses import dataclass, field
from typing import Protocol

from crowseam.simulator.world.loop import Handle, Process

KERNEL_BUFFER_BYTES = 64 * 1024  # kernel buffer space for data that the peer has not read
HIGH_WATER_BYTES = 64 * 1024  # of the write buffer, above which the protocol is paused


class PacketCarrier(Protocol):
    """What a transport needs from the network."""

    def send_packet(self, sender: Transport, kind: str, data: bytes) -> None:
        """Send a packet of a kind ("data", "end" or "reset") to the peer of `sender`."""

    def send_reset(self, closed: Transport) -> None:
        """Reset the peer of `closed`, an end which was closed when data arrived."""


@dataclass(eq=False)
class Retransmission:
    """Packets held by a cut whose retransmission is scheduled, and packets sent after them."""

    held_since: float  # time since which the first of them is held
    packets: list[tuple[Handle, str, bytes]] = field(default_factory=list)  # arrival, kind, data


class SocketStub:
    """Stand-in for the socket of a transport: its options, and a handle for `poll`."""

    __slots__ = ("transport",)

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """Apply TCP_USER_TIMEOUT (ms), and SO_LINGER with a zero timeout for a reset on close; ignore other options."""
        if level == socket.IPPROTO_TCP and option == socket.TCP_USER_TIMEOUT:
            self.transport.user_timeout = value / 1000.0
        elif level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            self.transport.reset_on_close = struct.unpack("ii", value) == (1, 0)

    def fileno(self) -> Transport:
        """Return the transport itself, which `Poll` accepts in place of a file descriptor."""
        return self.transport


class Poll:
    """Replacement for `select.poll` over simulated transports."""

    def __init__(self) -> None:
        self.watched: list[Transport] = []

    def register(self, transport: Transport, flags: int = 0) -> None:
        """Watch a transport."""
        self.watched.append(transport)

    def poll(self, timeout: float = 0.0) -> list:
        """Return the watched transports that have unread data, are at end of stream, or are closed."""
        return [(one, 1) for one in self.watched if one.unread or one.end_received or one.closed]


class Select:
    """Replacement for the module `select`."""

    POLLIN, POLLRDHUP = 1, 0x2000
    poll = Poll


class Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: PacketCarrier, process: Process, local: str, remote: str) -> None:
        super().__init__()
        self.network, self.process, self.local, self.remote = network, process, local, remote
        self.peer: Transport | None = None
        self.protocol: asyncio.BaseProtocol | None = None
        self.uses_buffers = False
        self.closed = False  # closed by this end
        self.end_received = False  # the peer has sent its end of stream
        self.end_sent = False
        self.lost = False  # connection_lost is scheduled or was called
        self.reset_on_close = False
        self.data_refused = False  # the peer was closed before it read the data sent last
        self.reading_paused = False
        self.unread: list[bytes] = []
        self.bytes_in_flight = 0  # sent, but not yet read by the peer
        self.writing_paused = False
        self.high, self.low = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self.user_timeout: float | None = None
        self.last_arrival = 0.0  # arrival time of the packet sent last by this end
        self.held_packets: list[tuple[str, bytes]] = []  # not sent because of a cut
        self.held_since = 0.0
        self.retransmission: Retransmission | None = None  # scheduled after a cut, not yet sent
        self.unacknowledged_since: float | None = None  # time since which acknowledgements are lost
        process.transports[self] = None

    # Called by protocols

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        """Attach the protocol once the connection is established."""
        self.protocol = protocol
        self.uses_buffers = isinstance(protocol, asyncio.BufferedProtocol)
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return the socket, or the local or remote address as (host, port)."""
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
        """Number of written bytes beyond the kernel buffer."""
        return max(0, self.bytes_in_flight - KERNEL_BUFFER_BYTES)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the sizes (bytes) at which the protocol is paused and resumed."""
        self.high = HIGH_WATER_BYTES if high is None else high
        self.low = self.high // 4 if low is None else low

    def pause_reading(self) -> None:
        """Buffer received data until `resume_reading`."""
        self.reading_paused = True

    def resume_reading(self) -> None:
        """Deliver buffered data, and new data as it arrives."""
        if self.reading_paused:
            self.reading_paused = False
            if self.unread:
                self.process.world.schedule(self.process.world.now, self.process, self._deliver_unread)

    def is_reading(self) -> bool:
        """Whether received data is delivered to the protocol."""
        return not self.reading_paused

    def can_write_eof(self) -> bool:
        """Half-closing is supported."""
        return True

    def write(self, data: bytes) -> None:
        """Send bytes; pause the protocol if the write buffer exceeds its high-water mark."""
        if self.closed or self.end_sent or not data:
            return
        data = bytes(data)
        self.bytes_in_flight += len(data)
        self.network.send_packet(self, "data", data)
        if not self.writing_paused and self.get_write_buffer_size() > self.high:
            self.writing_paused = True
            self.protocol.pause_writing()

    def writelines(self, lines: list[bytes]) -> None:
        """Send the concatenated lines."""
        self.write(b"".join(lines))

    def write_eof(self) -> None:
        """Half-close: send end of stream, and go on reading."""
        if not (self.closed or self.end_sent):
            self.end_sent = True
            self.network.send_packet(self, "end", b"")

    def close(self) -> None:
        """Close this end; the peer is reset if unread bytes remain."""
        if not self.closed:
            self.closed = True
            self.network.send_packet(self, "reset" if self.unread or self.reset_on_close else "end", b"")
            self._disconnect(None)

    def abort(self) -> None:
        """Close this end at once."""
        if not self.lost:
            if not self.closed:
                self.closed = True
                self.network.send_packet(self, "reset" if self.unread or self.reset_on_close else "end", b"")
            self._disconnect(None)

    def _disconnect(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = self.closed = True
            self.process.transports.pop(self, None)
            world = self.process.world
            world.schedule(world.now, self.process, self._notify_lost, (error,))

    def _notify_lost(self, error: Exception | None) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connection_lost(error)

    # Called by the network, in the process that owns this end

    def receive(self, kind: str, data: bytes) -> None:
        """Receive a packet of a kind ("data", "end" or "reset")."""
        if self.closed or not self.process.alive:
            if kind == "data":
                self.network.send_reset(self)
            return
        if kind == "data":
            self.unread.append(data)
            if not self.reading_paused:
                self._deliver_unread()
        elif kind == "end":
            self.end_received = True
            if not self.unread:
                self._notify_end()
        else:
            self._disconnect(ConnectionResetError(errno.ECONNRESET, "reset by peer"))

    def _deliver_unread(self) -> None:
        while self.unread and not (self.reading_paused or self.closed):
            data = self.unread.pop(0)
            if self.peer is not None:
                self.peer.acknowledge_read(len(data))
            if not self.uses_buffers:
                self.protocol.data_received(data)
                continue
            offset = 0
            while offset < len(data) and not self.closed:
                if self.reading_paused:
                    self.unread.insert(0, data[offset:])
                    break
                buffer = self.protocol.get_buffer(-1)
                copied = min(len(buffer), len(data) - offset)
                buffer[:copied] = data[offset : offset + copied]
                offset += copied
                self.protocol.buffer_updated(copied)
        if self.end_received and not self.unread and not self.closed:
            self._notify_end()

    def _notify_end(self) -> None:
        if not self.protocol.eof_received():
            self.close()

    def acknowledge_read(self, size: int) -> None:
        """Note that the peer has read `size` bytes; resume writing below the low-water mark."""
        self.bytes_in_flight -= size
        if self.writing_paused and not self.closed and self.get_write_buffer_size() <= self.low:
            self.writing_paused = False
            world = self.process.world
            world.schedule(world.now, self.process, self._resume_writing)

    def _resume_writing(self) -> None:
        if self.protocol is not None and not self.closed:
            self.protocol.resume_writing()
