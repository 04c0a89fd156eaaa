"""Framed connections between processes: each message is preceded by its length.

A message that cannot be decoded is counted and closes the connection, because its frames may be out of sync. A broken
network path is detected by TCP_USER_TIMEOUT_MS, after which the kernel drops a connection with unacknowledged data.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import cast

import msgspec

from crowseam import logs
from crowseam.transport.codec import decode, encode
from crowseam.transport.messages import Message

MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_UNREAD_BYTES = 8 * 1024 * 1024  # unsent data above which a slow peer is disconnected
TCP_USER_TIMEOUT_MS = 1500
MIN_REDIAL_DELAY_S = 0.15  # initial delay between connection attempts
MAX_REDIAL_DELAY_S = 1.0
MAX_MISMATCH_DELAY_S = 2.0  # while the peer speaks another protocol version
DIAL_TIMEOUT_S = 0.6
_DELAY_GROWTH = 1.6
_LENGTH = struct.Struct(">I")


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and limit the time that sent data may stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class Link(asyncio.Protocol):
    """One connection. `on_message(link, message)` is called for each message, `on_closed(link)` once at the end."""

    unreadable_messages = 0  # count for this process

    def __init__(
        self,
        on_message: Callable[[Link, Message], None],
        on_closed: Callable[[Link], None],
        on_connected: Callable[[Link], None] = lambda _: None,
    ) -> None:
        self.on_message = on_message
        self.on_closed = on_closed
        self.on_connected = on_connected
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.peer = ""  # name given by the owner, for log lines

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        set_socket_options(transport.get_extra_info("socket"))
        self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Pass each complete message to `on_message`; close the link if one cannot be decoded (asyncio)."""
        buffer = self.buffer
        buffer += data
        at = 0
        try:
            while len(buffer) - at >= _LENGTH.size:
                size = _frame_size(buffer, at)
                end = at + _LENGTH.size + size
                if len(buffer) < end:
                    break
                message = decode(memoryview(buffer)[at + _LENGTH.size : end])
                at = end
                self.on_message(self, message)
                if not self.open:
                    return
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            Link.unreadable_messages += 1
            logs.emit("message_unreadable", peer=self.peer, error=error)
            self.close()
            return
        if at:
            del buffer[:at]

    def send(self, *messages: Message) -> None:
        """Send messages; they are dropped if the link is closed."""
        self.write(b"".join(frame(message) for message in messages))

    def write(self, frames: bytes) -> None:
        """Send encoded frames; see `frame`."""
        if self.transport is None or not self.open:
            return
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            logs.emit("slow_peer_dropped", peer=self.peer)
            self.close()
        else:
            self.transport.write(frames)

    def close(self) -> None:
        """Abort the link; data not sent yet is dropped."""
        if self.transport is not None:
            self.transport.abort()

    def close_when_flushed(self) -> None:
        """Close the link after all buffered data is sent; stop reading."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, _: Exception | None) -> None:
        """Report the end of the connection (asyncio)."""
        self.on_closed(self)


def _frame_size(buffer: bytearray, at: int) -> int:
    size: int = _LENGTH.unpack_from(buffer, at)[0]
    if size > MAX_FRAME_BYTES:
        raise ValueError(f"frame too large: {size} bytes")
    return size


def frame(message: Message) -> bytes:
    """Encode a message with its length prefix."""
    body = encode(message)
    return _LENGTH.pack(len(body)) + body


class Dialer:
    """Keeps one link to an address open, redialling with backoff until closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        on_message: Callable[[Link, Message], None],
        on_connected: Callable[[Link], None],
    ) -> None:
        self.loop = loop
        self.host = host
        self.port = port
        self.on_message = on_message
        self.on_connected = on_connected
        self.link: Link | None = None
        self.is_wanted = True
        self.redial_delay_s = MIN_REDIAL_DELAY_S
        self.mismatch_delay_s = MIN_REDIAL_DELAY_S
        self._retry_timer: asyncio.TimerHandle | None = None  # set while a redial is scheduled
        self.task: asyncio.Task[None] | None = loop.create_task(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await self.loop.create_connection(
                    lambda: Link(self.on_message, self._on_closed, self._on_connected), self.host, self.port
                )
        except (OSError, TimeoutError):
            self._schedule_redial()

    def _on_connected(self, link: Link) -> None:
        self.link = link
        self.redial_delay_s = MIN_REDIAL_DELAY_S
        if self.is_wanted:
            self.on_connected(link)
        else:
            link.close()

    def _on_closed(self, link: Link) -> None:
        if self.link is link:
            self.link = None
            self._schedule_redial()

    def _schedule_redial(self) -> None:
        if self.is_wanted:
            self._retry_timer = self.loop.call_later(self.redial_delay_s, self._redial)
            self.redial_delay_s = min(MAX_REDIAL_DELAY_S, self.redial_delay_s * _DELAY_GROWTH)

    def retry_now(self) -> None:
        """Redial immediately if a redial is scheduled, because the peer is known to be up."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._redial()

    def _redial(self) -> None:
        self._retry_timer = None
        if self.is_wanted and self.link is None:
            self.task = self.loop.create_task(self._dial())

    def on_version_mismatch(self) -> None:
        """Close the link to a peer that speaks another protocol version; redial with growing backoff."""
        self.mismatch_delay_s = min(MAX_MISMATCH_DELAY_S, self.mismatch_delay_s * _DELAY_GROWTH)
        self.redial_delay_s = self.mismatch_delay_s
        if self.link is not None:
            self.link.close()

    def on_version_match(self) -> None:
        """Reset the backoff for version mismatches, as the peer speaks our protocol version."""
        self.mismatch_delay_s = MIN_REDIAL_DELAY_S

    def send(self, *messages: Message) -> None:
        """Send messages; they are dropped while no link is open."""
        if self.link is not None:
            self.link.send(*messages)

    def close(self) -> None:
        """Close the link and stop redialling."""
        self.is_wanted = False
        if self.link is not None:
            self.link.close()
