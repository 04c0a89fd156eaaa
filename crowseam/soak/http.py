"""Minimal HTTP/1.1 for the clients and stand-in servers of a soak test."""

from __future__ import annotations

import asyncio

import msgspec


class Message(msgspec.Struct):
    """A request or response: first line, header fields by lower-case name, and body."""

    first: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.first.split()[1])


async def read(reader: asyncio.StreamReader) -> Message:
    """Read one message. Raises asyncio.IncompleteReadError or OSError if the connection closes before its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    if fields.get("transfer-encoding") == "chunked":
        body = await _chunks(reader)
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Message(first, fields, body)


async def _chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def render(first: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Serialize a message, with its Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()), f"content-length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


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
