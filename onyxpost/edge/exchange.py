"""One HTTP exchange as the asking side sees it: the bytes of a req, and one whole answer. No I/O itself."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h11

Read = Callable[[], Awaitable[bytes]]


class Cut(OSError):
    """The connection ended before a whole answer had come, or nothing tells where the answer ends."""


def asking(http: h11.Connection, request: h11.Request, body: bytes = b"") -> bytes:
    data = http.send(request) or b""
    if body:
        data += http.send(h11.Data(data=body)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


async def answered(http: h11.Connection, read: Read, most: int) -> tuple[h11.Response, bytes]:
    response: h11.Response | None = None
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await read()
            if not data and not _framed(response):
                raise Cut("connection ended")
            http.receive_data(data)
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > most:
                raise h11.RemoteProtocolError(f"body over {most} bytes")
        elif isinstance(event, h11.EndOfMessage) and response is not None:
            return response, bytes(body)
        elif not isinstance(event, h11.InformationalResponse):
            raise Cut("connection ended")


def _framed(response: h11.Response | None) -> bool:
    """Is there a word on where the body ends? Else its end cannot be told from a cut."""
    return response is not None and any(
        name in (b"content-length", b"transfer-encoding") for name, _ in response.headers
    )
