"""Fenced calls: HTTP requests of a leader to a resource outside the cluster, with the fencing token.

The request is `POST /acts/ROLE` with the token in the header `Fence` and the leader's name in `Holder`.
Status 200 means that the call was executed. Status 409 means that it was rejected, as the resource has
received a call of a later leader; `Fence` has the highest token received, if the resource sends it.
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

MAX_RESPONSE_BYTES = 65536
MAX_CAUSE_CHARS = 200  # longest cause in an error message
TOKEN_LIMIT_DIGITS = 19  # the digits of a 64-bit number; a longer header value is not a token


@dataclass(frozen=True, slots=True)
class FencedCall:
    """A call; `timeout_ms` limits the time from the dial to the end of the response."""

    address: Address
    role: str
    fencing_token: int
    leader: str
    body: bytes
    timeout_ms: float


async def execute(transport: Transport, call: FencedCall, is_leading: Callable[[], bool]) -> None:
    """Makes the call, and returns when the resource has confirmed that it was executed.

    `is_leading` is checked again immediately before the request is written: the lease may end while dialing.

    Raises:
        NotLeaderError: the lease ended before the request was written; nothing was sent.
        HigherFencingTokenError: the resource rejected the call, as it has received a higher token.
        FencedCallError: there was no response, or an unexpected one; the call may have been executed.
    """
    location = "{}:{}/acts/{}".format(*call.address, call.role)
    http = h11.Connection(h11.CLIENT)
    data = encode_message(http, _request(call), call.body)
    try:
        async with asyncio.timeout(call.timeout_ms / MS_PER_SECOND):
            reader, writer, *_ = await transport.dial(call.address, READ_CHUNK_BYTES)
            try:
                limit_read_size(writer, READ_CHUNK_BYTES)
                if not is_leading():
                    raise NotLeaderError("the lease ended before the call was sent", call.role)
                writer.write(data)
                response, _ = await read_response(
                    http, lambda: reader.read(READ_CHUNK_BYTES), MAX_RESPONSE_BYTES
                )
            finally:
                writer.transport.abort()
    except (TimeoutError, OSError, h11.ProtocolError) as error:
        cause = f"no valid response in {call.timeout_ms:.0f} ms: {type(error).__name__} {error}"[
            :MAX_CAUSE_CHARS
        ]
        raise FencedCallError(cause, location) from error
    if response.status_code == HTTPStatus.CONFLICT:
        higher = _fencing_token(response)
        raise HigherFencingTokenError(
            f"fencing token {call.fencing_token} was rejected; the response names {higher} (0: no token)",
            location,
            higher,
        )
    if response.status_code != HTTPStatus.OK:
        raise FencedCallError(f"unexpected status {response.status_code}", location)


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
    """Returns the highest token that the resource has received; 0 if the response has no valid token."""
    value = dict(response.headers).get(b"fence", b"")
    return int(value) if value.isdigit() and len(value) <= TOKEN_LIMIT_DIGITS else 0
