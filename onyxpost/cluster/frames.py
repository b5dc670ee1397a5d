"""Frames: a big-endian length of four bytes, followed by one message in MessagePack.

A malformed or oversized frame ends its connection and affects no other. Writes never wait; a peer that does
not read takes up at most `MAX_UNSENT_BYTES` of memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from onyxpost.cluster.errors import FrameTooLongError, MalformedFrameError

if TYPE_CHECKING:
    import asyncio

MessageT = TypeVar("MessageT")

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 80 * 1024  # has room for a record of 64 KiB and its envelope
MAX_UNSENT_BYTES = 256 * 1024  # limit of one connection; has room for three frames of the largest size

_encoder = msgspec.msgpack.Encoder()


def encode_frame(message: msgspec.Struct, limit: int = MAX_FRAME_BYTES) -> bytes:
    """Returns the frame of a message. Raises FrameTooLongError if the message exceeds `limit` bytes."""
    data = _encoder.encode(message)
    if len(data) > limit:
        raise FrameTooLongError(f"message of {len(data)} bytes, limit {limit}", type(message).__name__)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


async def read_frame(
    reader: asyncio.StreamReader, decoder: msgspec.msgpack.Decoder[MessageT], limit: int = MAX_FRAME_BYTES
) -> MessageT:
    """Reads the next frame and decodes its message.

    Raises:
        MalformedFrameError: the length is 0 or above `limit`, or the decoder rejects the message.
        OSError, EOFError: the connection ended.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if not 0 < length <= limit:
        raise MalformedFrameError(f"frame length of {length} bytes, expected 1 to {limit}")
    data = await reader.readexactly(length)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise MalformedFrameError(str(err)[:200]) from err


def has_buffer_space(writer: asyncio.StreamWriter, byte_count: int) -> bool:
    """Returns whether `byte_count` more bytes fit into the buffer of unsent bytes of this connection."""
    return writer.transport.get_write_buffer_size() + byte_count <= MAX_UNSENT_BYTES


def try_write(writer: asyncio.StreamWriter, data: bytes) -> bool:
    """Writes without waiting; returns False and writes nothing if the connection is closing or full."""
    if writer.transport.is_closing() or not has_buffer_space(writer, len(data)):
        return False
    writer.write(data)
    return True
