"""A link between processes that counts what goes over it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import msgspec

from crowseam import clock
from crowseam.capacity.hollow_protocol import MessageCount
from crowseam.transport import links
from crowseam.transport.codec import decode
from crowseam.transport.messages import Message

LENGTH_SIZE = 4  # bytes of the length before each message


class Traffic:
    """Messages and bytes by type and direction."""

    def __init__(self) -> None:
        self._counts: defaultdict[str, MessageCount] = defaultdict(MessageCount)

    def add(self, what: str, size: int) -> None:
        """Count a message of `size` bytes, its frame included."""
        count = self._counts[what]
        count.messages += 1
        count.bytes += size

    def counts(self) -> dict[str, MessageCount]:
        """What was counted, by direction and type."""
        return dict(sorted(self._counts.items()))


def type_name(body: bytes) -> str:
    """The type of a message that this code can't read, as the wire has it."""
    try:
        return str(msgspec.msgpack.decode(body)[0])
    except (msgspec.MsgspecError, IndexError, TypeError, KeyError):
        return "unreadable"


class HollowLink(links.Link):
    """A link that counts, and passes over messages that it doesn't know: the wire grows with the code."""

    def __init__(
        self,
        heard: Callable[[links.Link, Message], None],
        ended: Callable[[links.Link], None],
        traffic: Traffic,
    ) -> None:
        super().__init__(heard, ended)
        self.traffic = traffic
        self.received_at = clock.monotonic()

    def data_received(self, data: bytes) -> None:
        """Hand on each whole message that is known, and count all."""
        self.received_at = clock.monotonic()
        buffer = self.buffer
        buffer += data
        at = 0
        while len(buffer) - at >= LENGTH_SIZE:
            size = int.from_bytes(buffer[at : at + LENGTH_SIZE], "big")
            if len(buffer) - at < LENGTH_SIZE + size:
                break
            body = bytes(memoryview(buffer)[at + LENGTH_SIZE : at + LENGTH_SIZE + size])
            at += LENGTH_SIZE + size
            try:
                message = decode(body)
            except (msgspec.MsgspecError, ValueError):
                self.traffic.add(f"in {type_name(body)}", LENGTH_SIZE + size)
                continue
            self.traffic.add(f"in {type(message).__name__}", LENGTH_SIZE + size)
            self.on_message(self, message)
            if not self.open:
                return
        if at:
            del buffer[:at]

    def send(self, *messages: Message) -> None:
        """Send messages, and count them."""
        for message in messages:
            frame = links.frame(message)
            self.traffic.add(f"out {type(message).__name__}", len(frame))
            self.write(frame)
