"""Reads HTTP requests on the connections of stubs."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Any, NamedTuple

import h11

from onyxpost.runtime.http1 import READ_CHUNK_BYTES

if TYPE_CHECKING:
    import asyncio

STREAM_LIMIT_BYTES = 65536  # buffer limit of an accepted connection
ACCEPTS_PER_TURN = 16  # maximal number of connections accepted in one turn of the event loop


class ReceivedRequest(NamedTuple):
    """A request with its complete body."""

    head: h11.Request
    body: bytes


async def read_request(
    http: h11.Connection, reader: asyncio.StreamReader, max_body_bytes: float = inf
) -> ReceivedRequest | None:
    """Returns the next request; None if the client closed, or if the body is larger than `max_body_bytes`.

    Raises OSError if the connection breaks, h11.ProtocolError if the request is malformed.
    """
    head: h11.Request | None = None
    body = b""
    while True:
        event: Any = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_CHUNK_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                return None
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return ReceivedRequest(head, body)
        else:
            return None
