"""Encoding of messages between processes: MessagePack, with large content compressed."""

from __future__ import annotations

import zlib

import msgspec

from crowseam.consensus import messages as consensus
from crowseam.transport.messages import Message

COMPRESS_BODY_FROM_BYTES = 2048  # smallest body that `pack` compresses
COMPRESS_ENTRY_FROM_BYTES = 64 * 1024  # smallest message with log entries that is compressed
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
_COMPRESSED = ord(
    "z"
)  # no uncompressed message starts with this byte: a MessagePack array starts with 0x90 to 0x9f or 0xdc
_COMPRESSED_BODY, _PLAIN_BODY = b"z", b"-"
_FAST_LEVEL, _BETTER_LEVEL = 1, 2  # zlib levels
# Messages that may contain a full configuration. Snapshot chunks are already compressed.
_COMPRESSIBLE_TYPES = consensus.Accept | consensus.Promise | consensus.ChosenEntries
_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message. Large log entries are compressed, so that they do not block a slow link for long."""
    body = _encode(message)
    if len(body) >= COMPRESS_ENTRY_FROM_BYTES and isinstance(message, _COMPRESSIBLE_TYPES):
        return bytes((_COMPRESSED,)) + zlib.compress(body, _FAST_LEVEL)
    return body


def decode(data: bytes | memoryview) -> Message:
    """Decode a message. Raises msgspec.MsgspecError or ValueError."""
    if not data or data[0] != _COMPRESSED:
        return _decoder.decode(data)
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot decompress a message: {error}") from error
    if not decompressor.eof:
        raise ValueError("compressed message is cut short or too large")
    return _decoder.decode(body)


def pack(body: bytes) -> bytes:
    """Return a body in transfer form: compressed if it is large enough."""
    if len(body) >= COMPRESS_BODY_FROM_BYTES:
        return _COMPRESSED_BODY + zlib.compress(body, _BETTER_LEVEL)
    return _PLAIN_BODY + body


def unpack(body: bytes) -> bytes:
    """Return the body that was given to `pack`. Raises ValueError."""
    if body[:1] == _PLAIN_BODY:
        return body[1:]
    if body[:1] != _COMPRESSED_BODY:
        raise ValueError("unknown form of a packed body")
    try:
        return zlib.decompress(body[1:])
    except zlib.error as error:
        raise ValueError(f"cannot decompress a body: {error}") from error
