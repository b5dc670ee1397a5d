"""Calls by which a leader acts on a fenced resource outside the cluster: HTTP with the fencing token. I/O.

`POST /acts/ROLE` with the headers `Fence` and `Holder`. Status 200: executed. Status 409 with a higher
`Fence`: rejected, as another node leads the role.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.leadership.errors import FencedCallError, HigherFencingTokenError, NotLeaderError
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message, limit_read_size, read_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Transport

RESPONSE_LIMIT_BYTES = 65536
CAUSE_LIMIT_CHARACTERS = 200  # of an error's text in a log line
TOKEN_LIMIT_DIGITS = 19  # a 64-bit number; a longer header value is no token


@dataclass(frozen=True, slots=True)
class FencedCall:
    """One call; `timeout_ms` bounds all of it."""

    address: Address
    role: str
    fencing_token: int
    leader: str
    body: bytes
    timeout_ms: float


async def execute(net: Transport, call: FencedCall, is_leading: Callable[[], bool]) -> None:
    """Returns once the call was executed. `is_leading` is called right before the first byte is sent.

    Raises:
        NotLeaderError: the lease ended before; nothing was sent.
        HigherFencingTokenError: the resource knows a higher token.
        FencedCallError: there was no answer, or an unexpected one: the call may have been executed.
    """
    location = "{}:{}/acts/{}".format(*call.address, call.role)
    http = h11.Connection(h11.CLIENT)
    data = encode_message(http, _request(call), call.body)
    try:
        async with asyncio.timeout(call.timeout_ms / MS_PER_SECOND):
            reader, writer, *_ = await net.dial(call.address, READ_CHUNK_BYTES)
            try:
                limit_read_size(writer, READ_CHUNK_BYTES)
                if not is_leading():
                    raise NotLeaderError("the lease ended before the call was sent", call.role)
                writer.write(data)
                response, _ = await read_response(
                    http, lambda: reader.read(READ_CHUNK_BYTES), RESPONSE_LIMIT_BYTES
                )
            finally:
                writer.transport.abort()
    except (TimeoutError, OSError, h11.ProtocolError) as error:
        cause = f"no answer: {type(error).__name__} {error}"[:CAUSE_LIMIT_CHARACTERS]
        raise FencedCallError(cause, location) from error
    if response.status_code == HTTPStatus.CONFLICT:
        higher = _fencing_token(response)
        raise HigherFencingTokenError(
            f"fencing token {call.fencing_token} is below {higher}", location, higher
        )
    if response.status_code != HTTPStatus.OK:
        raise FencedCallError(f"status {response.status_code}", location)


def _request(call: FencedCall) -> h11.Request:
    return h11.Request(
        method="POST",
        target=f"/acts/{call.role}",
        headers=[
            ("Host", "acts"),
            ("Fence", str(call.fencing_token)),
            ("Holder", call.leader),
            ("Content-Length", str(len(call.body))),
            ("Connection", "close"),
        ],
    )


def _fencing_token(response: h11.Response) -> int:
    """The token that the resource knows; 0 if it names none."""
    value = dict(response.headers).get(b"fence", b"")
    return int(value) if value.isdigit() and len(value) <= TOKEN_LIMIT_DIGITS else 0
