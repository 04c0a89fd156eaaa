"""Minimal HTTP/1.1 for the clients and stand-in servers of a soak test."""

from __future__ import annotations

import asyncio

import msgspec

MAX_PART_BYTES = 64 * 1024  # of a body, read at once


class Message(msgspec.Struct):
    """A request or response: first line, header fields by lower-case name, and body."""

    first: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.first.split()[1])


class BodyReader:
    """Reads the body of one message in parts, whether it has a length or is chunked."""

    def __init__(self, reader: asyncio.StreamReader, fields: dict[str, str]) -> None:
        """`fields`: of the message's head."""
        self._reader = reader
        self._is_chunked = fields.get("transfer-encoding") == "chunked"
        self._remaining = 0 if self._is_chunked else int(fields.get("content-length", 0))  # of the body or the chunk
        self._is_complete = not self._is_chunked and not self._remaining

    async def read_part(self) -> bytes:
        """Return the next part; empty at the end. Raises IncompleteReadError if the connection closes before it."""
        if self._is_complete:
            return b""
        if self._is_chunked and not self._remaining:
            self._remaining = int(await self._reader.readuntil(b"\r\n"), 16)
            if not self._remaining:
                await self._reader.readuntil(b"\r\n")
                self._is_complete = True
                return b""
        part = await self._reader.read(min(self._remaining, MAX_PART_BYTES))
        if not part:
            raise asyncio.IncompleteReadError(b"", self._remaining)
        self._remaining -= len(part)
        if self._is_chunked and not self._remaining:
            await self._reader.readuntil(b"\r\n")
        self._is_complete = not self._is_chunked and not self._remaining
        return part

    async def read_all(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while part := await self.read_part():
            parts.append(part)
        return b"".join(parts)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and header fields. Raises asyncio.IncompleteReadError or OSError at the connection's end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return first, fields


async def read(reader: asyncio.StreamReader) -> Message:
    """Read one message. Raises asyncio.IncompleteReadError or OSError if the connection closes before its end."""
    first, fields = await read_head(reader)
    return Message(first, fields, await BodyReader(reader, fields).read_all())


def render_chunk(data: bytes) -> bytes:
    """Serialize a chunk of a body; an empty one ends it."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def render_head(first: str, fields: dict[str, str]) -> bytes:
    """Serialize the head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def render(first: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Serialize a message, with its Content-Length."""
    return render_head(first, fields | {"content-length": str(len(body))}) + body


async def call(
    address: tuple[str, int], method: str, path: str, body: bytes = b"", timeout_s: float = 1.0
) -> Message | None:
    """Send one request on a new connection; return None if no complete response arrives in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fields = {"host": f"{address[0]}:{address[1]}", "content-type": "application/json"}
            writer.write(render(f"{method} {path} HTTP/1.1", fields, body))
            return await read(reader)
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
