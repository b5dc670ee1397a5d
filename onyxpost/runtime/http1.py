"""HTTP/1.1 helpers for all connections: encode a message, read a response, prepare for the next exchange."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import h11

from onyxpost.runtime.errors import TruncatedResponseError

if TYPE_CHECKING:
    import asyncio

READ_CHUNK_BYTES = 65536  # upper bound of one read from a stream
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses accepted before the final response

ReadChunk = Callable[[], Awaitable[bytes]]


def limit_read_size(writer: asyncio.StreamWriter, max_bytes: int) -> None:
    """Limits the size of one read from the socket.

    By default asyncio reads up to 256 KiB at a time, regardless of the buffer limit of the stream.
    """
    writer.transport.max_size = max_bytes  # type: ignore[attr-defined]


def encode_message(http: h11.Connection, head: h11.Request | h11.Response, body: bytes = b"") -> bytes:
    """Returns the bytes of a complete request or response."""
    data = http.send(head) or b""
    if body:
        data += http.send(h11.Data(data=body)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


async def read_response(
    http: h11.Connection, read: ReadChunk, max_body_bytes: int
) -> tuple[h11.Response, bytes]:
    """Reads one complete response and returns its head and body.

    `read` returns empty bytes at the end of the stream, which completes a response without framing headers
    (RFC 9112, section 6.3), and raises an error for a reset, which does not.

    Raises:
        TruncatedResponseError: the stream ended before the head was complete, or too many 1xx responses came.
        h11.RemoteProtocolError: the response is malformed or truncated, or its body exceeds `max_body_bytes`.
    """
    response: h11.Response | None = None
    body = bytearray()
    informational_count = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await read()
            if not data and response is None:
                raise TruncatedResponseError("connection ended before the head of the response was complete")
            http.receive_data(data)
        elif isinstance(event, h11.Response):
            response = event
            _check_framing_headers(response, max_body_bytes)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                raise h11.RemoteProtocolError(f"response body exceeds {max_body_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage) and response is not None:
            return response, bytes(body)
        elif (
            isinstance(event, h11.InformationalResponse) and informational_count < MAX_INFORMATIONAL_RESPONSES
        ):
            informational_count += 1
        else:
            raise TruncatedResponseError(
                f"connection ended, or more than {MAX_INFORMATIONAL_RESPONSES} 1xx responses arrived, "
                "before the final response"
            )


def start_next_cycle(http: h11.Connection) -> bool:
    """Prepares the connection for the next exchange; returns False if the connection cannot be reused.

    A connection can be reused if both sides have finished this exchange, neither asked to close, and the
    stream of the other side has not ended, as it does with a response without framing headers.
    """
    _, has_stream_ended = http.trailing_data
    if http.our_state is not h11.DONE or http.their_state is not h11.DONE or has_stream_ended:
        return False
    http.start_next_cycle()
    return True


def _check_framing_headers(response: h11.Response, max_body_bytes: int) -> None:
    values = [value for name, value in response.headers if name in FRAMING_HEADERS]
    if len(values) > 1 or (values and values[0].isdigit() and int(values[0]) > max_body_bytes):
        raise h11.RemoteProtocolError(
            f"response has {len(values)} framing headers instead of at most 1, or its body exceeds "
            f"{max_body_bytes} bytes"
        )
