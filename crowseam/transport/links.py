"""Framed connections between the system's processes: a length, then a message.

What can't be read is counted and drops the connection, as its frames may be out of step.  A cut link is
silent: the kernel gives up what is not acknowledged after USER_TIMEOUT, whoever waits on it.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import msgspec

from crowseam import logs
from crowseam.transport.messages import Message, decode, encode

MOST_FRAME = 32 * 1024 * 1024  # bytes
MOST_WAITING = 8 * 1024 * 1024  # bytes that a peer may leave unread before it is dropped
USER_TIMEOUT = 1500  # ms
_LENGTH = struct.Struct(">I")


def tune(sock: socket.socket) -> None:
    """Small messages go at once, and a silent cut is noticed."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)


class Link(asyncio.Protocol):
    """One connection; `heard(link, message)` gets what comes, `ended(link)` is called once."""

    unreadable = 0  # messages dropped in this process

    def __init__(
        self,
        heard: Callable[[Link, Message], None],
        ended: Callable[[Link], None],
        made: Callable[[Link], None] = lambda link: None,
    ) -> None:
        self.heard, self.ended, self.made = heard, ended, made
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.peer = ""  # what the owner knows it by

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The connection is up (asyncio)."""
        self.transport = transport
        tune(transport.get_extra_info("socket"))
        self.made(self)

    def data_received(self, data: bytes) -> None:
        """Hand each message that is whole to `heard`; what can't be read ends the link (asyncio)."""
        buffer = self.buffer
        buffer += data
        at = 0
        try:
            while len(buffer) - at >= 4:
                size = _LENGTH.unpack_from(buffer, at)[0]
                if size > MOST_FRAME:
                    raise ValueError(f"a frame of {size} bytes")
                if len(buffer) - at < 4 + size:
                    break
                message = decode(memoryview(buffer)[at + 4 : at + 4 + size])
                at += 4 + size
                self.heard(self, message)
                if not self.open:
                    return
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            Link.unreadable += 1
            logs.say("unreadable", peer=self.peer, error=error)
            self.close()
            return
        if at:
            del buffer[:at]

    def send(self, *messages: Message) -> None:
        """Write messages; they are lost where the link is."""
        self.write(b"".join(frame(message) for message in messages))

    def write(self, frames: bytes) -> None:
        """Write what `frame` made."""
        if self.open:
            if self.transport.get_write_buffer_size() > MOST_WAITING:
                logs.say("peer_does_not_read", peer=self.peer)
                return self.close()
            self.transport.write(frames)

    def close(self) -> None:
        """End the link at once; what is not written yet is lost."""
        if self.transport is not None:
            self.transport.abort()

    def finish(self) -> None:
        """Close once all that was sent is written; nothing more is read."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone (asyncio)."""
        self.ended(self)


def frame(message: Message) -> bytes:
    """The bytes of one message on a link."""
    body = encode(message)
    return _LENGTH.pack(len(body)) + body


class Dialer:
    """Keeps one link to an address, dialling again after a pause while it is wanted."""

    PAUSE, PAUSE_MOST, TIMEOUT = 0.15, 1.0, 0.6  # s
    REFUSED_MOST = 2.0  # s between two tries at most where the peer refuses us

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        heard: Callable[[Link, Message], None],
        made: Callable[[Link], None],
    ) -> None:
        self.loop, self.host, self.port, self.heard, self.made = loop, host, port, heard, made
        self.link: Link | None = None
        self.wanted, self.pause, self.refused_pause = True, self.PAUSE, self.PAUSE
        self._retry: asyncio.TimerHandle | None = None  # while the next attempt is waited for
        self.task: asyncio.Task | None = loop.create_task(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(self.TIMEOUT):
                await self.loop.create_connection(
                    lambda: Link(self.heard, self._ended, self._made), self.host, self.port
                )
        except (OSError, TimeoutError):
            self._later()

    def _made(self, link: Link) -> None:
        self.link, self.pause = link, self.PAUSE
        if not self.wanted:
            return link.close()
        self.made(link)

    def _ended(self, link: Link) -> None:
        if self.link is link:
            self.link = None
            self._later()

    def _later(self) -> None:
        if self.wanted:
            self._retry = self.loop.call_later(self.pause, self._again)
            self.pause = min(self.PAUSE_MOST, self.pause * 1.6)

    def hasten(self) -> None:
        """Dial at once where the next attempt is waited for, as the other end has just shown that it is up."""
        if self._retry is not None:
            self._retry.cancel()
            self._again()

    def _again(self) -> None:
        self._retry = None
        if self.wanted and self.link is None:
            self.task = self.loop.create_task(self._dial())

    def refused(self) -> None:
        """The peer is not to be spoken to for now: end the link, and dial again after a growing pause."""
        self.refused_pause = min(self.REFUSED_MOST, self.refused_pause * 1.6)
        self.pause = self.refused_pause
        if self.link is not None:
            self.link.close()

    def accepted(self) -> None:
        """The peer may be spoken to: pauses begin anew."""
        self.refused_pause = self.PAUSE

    def send(self, *messages: Message) -> None:
        """Write messages; they are lost where no link is up."""
        if self.link is not None:
            self.link.send(*messages)

    def close(self) -> None:
        """End the link for good."""
        self.wanted = False
        if self.link is not None:
            self.link.close()
