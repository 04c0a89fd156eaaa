"""A link that counts its messages and bytes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import msgspec

from crowseam import clock
from crowseam.capacity.hollow_protocol import MessageCount
from crowseam.transport import links
from crowseam.transport.codec import decode
from crowseam.transport.messages import Message

LENGTH_BYTES = 4  # of the length prefix of each message


class Traffic:
    """Counts of messages and bytes by direction and type."""

    def __init__(self) -> None:
        self._counts: defaultdict[str, MessageCount] = defaultdict(MessageCount)

    def add(self, key: str, size: int) -> None:
        """Count a message of `size` bytes including its frame."""
        count = self._counts[key]
        count.messages += 1
        count.bytes += size

    def counts(self) -> dict[str, MessageCount]:
        """Return the counts by direction and type."""
        return dict(sorted(self._counts.items()))


def message_type_name(body: bytes) -> str:
    """Return the type tag of a message that could not be decoded."""
    try:
        return str(msgspec.msgpack.decode(body)[0])
    except (msgspec.MsgspecError, IndexError, TypeError, KeyError):
        return "unreadable"


class HollowLink(links.Link):
    """A link that counts traffic and skips messages of unknown type, so that newer controllers can be measured."""

    def __init__(
        self,
        on_message: Callable[[links.Link, Message], None],
        on_closed: Callable[[links.Link], None],
        traffic: Traffic,
    ) -> None:
        super().__init__(on_message, on_closed)
        self.traffic = traffic
        self.received_at = clock.monotonic()

    def data_received(self, data: bytes) -> None:
        """Count each complete message, and pass those of a known type to `on_message`."""
        self.received_at = clock.monotonic()
        buffer = self.buffer
        buffer += data
        offset = 0
        while len(buffer) - offset >= LENGTH_BYTES:
            size = int.from_bytes(buffer[offset : offset + LENGTH_BYTES], "big")
            if len(buffer) - offset < LENGTH_BYTES + size:
                break
            body = bytes(memoryview(buffer)[offset + LENGTH_BYTES : offset + LENGTH_BYTES + size])
            offset += LENGTH_BYTES + size
            try:
                message = decode(body)
            except (msgspec.MsgspecError, ValueError):
                self.traffic.add(f"in {message_type_name(body)}", LENGTH_BYTES + size)
                continue
            self.traffic.add(f"in {type(message).__name__}", LENGTH_BYTES + size)
            self.on_message(self, message)
            if not self.open:
                return
        if offset:
            del buffer[:offset]

    def send(self, *messages: Message) -> None:
        """Send and count messages."""
        for message in messages:
            frame = links.frame(message)
            self.traffic.add(f"out {type(message).__name__}", len(frame))
            self.write(frame)
