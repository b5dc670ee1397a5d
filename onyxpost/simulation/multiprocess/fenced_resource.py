"""A stub of a fenced resource: rejects calls with a fencing token below the highest one seen. I/O.

A call is `POST /acts/ROLE` with `Fence: TOKEN`, `Holder: NODE` and a body. The response has status 200, or
409 if a higher token was seen for the role, and the highest token in `Fence`. The response to any other
request has status 400 and token 0.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.runtime.http1 import encode_message
from onyxpost.simulation.free_ports import LOOPBACK
from onyxpost.simulation.multiprocess.history import FencedCallReceived
from onyxpost.simulation.stubs import read_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address

CALL_TARGET_PATTERN = re.compile(rb"/acts/([A-Za-z0-9_.-]{1,100})")
MAX_BODY_BYTES = 65536
MAX_TOKEN_DIGITS = 19
RECORDED_BODY_BYTES = 200  # the rest of a body is left out of the history
ACCEPTED_STATUS = 200
MALFORMED_STATUS = 400
STALE_TOKEN_STATUS = 409


class FencedCall(NamedTuple):
    """A leader's fenced call."""

    role: str
    fencing_token: int
    leader: str
    body: bytes


def decode_call(head: h11.Request, body: bytes) -> FencedCall | None:
    """Returns the fenced call of a request; None if the request is malformed."""
    headers = dict(head.headers)
    target = CALL_TARGET_PATTERN.fullmatch(head.target)
    token = headers.get(b"fence", b"")
    leader = headers.get(b"holder", b"")
    if target is None or head.method != b"POST" or not leader:
        return None
    if not token.isdigit() or len(token) > MAX_TOKEN_DIGITS:
        return None
    return FencedCall(target[1].decode(), int(token), leader.decode("latin-1"), body)


class FencedResource:
    """Accepts or rejects fenced calls by the highest fencing token of each role.

    Args:
        on_call: is called with the event of each fenced call.
        now_ms: returns the time for events.
        checks_tokens: False accepts any token, which is a mutation.
    """

    def __init__(
        self,
        on_call: Callable[[FencedCallReceived], None],
        now_ms: Callable[[], float],
        *,
        checks_tokens: bool = True,
    ) -> None:
        self.on_call = on_call
        self.now_ms = now_ms
        self.checks_tokens = checks_tokens
        self.highest_tokens: dict[str, int] = {}
        self.accepted_calls = 0
        self.rejected_calls = 0
        self._listener: asyncio.Server | None = None

    async def open(self) -> Address:
        """Starts listening on a free port; returns the address."""
        self._listener = await asyncio.start_server(self._serve, LOOPBACK, 0)
        host, port = self._listener.sockets[0].getsockname()
        return host, port

    def close(self) -> None:
        """Stops listening; nothing happens if the resource is not open."""
        if self._listener is not None:
            self._listener.close()

    def handle_call(self, call: FencedCall) -> bool:
        """Records a fenced call; returns whether the call is accepted."""
        highest = self.highest_tokens.get(call.role, 0)
        is_accepted = call.fencing_token >= highest or not self.checks_tokens
        self.highest_tokens[call.role] = max(highest, call.fencing_token)
        if is_accepted:
            self.accepted_calls += 1
        else:
            self.rejected_calls += 1
        self.on_call(
            FencedCallReceived(
                self.now_ms(),
                leader=call.leader,
                role=call.role,
                fencing_token=call.fencing_token,
                accepted=is_accepted,
                highest_token=self.highest_tokens[call.role],
                body=call.body[:RECORDED_BODY_BYTES].decode("latin-1"),
            )
        )
        return is_accepted

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError, asyncio.CancelledError):
            while await self._answer_next(http, reader, writer):
                http.start_next_cycle()
        writer.close()

    async def _answer_next(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one request; returns whether the connection can carry another one."""
        received = await read_request(http, reader, MAX_BODY_BYTES)
        if received is None:
            return False
        call = decode_call(*received)
        if call is None:
            status = MALFORMED_STATUS
            highest = 0
        else:
            status = ACCEPTED_STATUS if self.handle_call(call) else STALE_TOKEN_STATUS
            highest = self.highest_tokens[call.role]
        headers = [("Fence", str(highest)), ("Content-Length", "0")]
        writer.write(encode_message(http, h11.Response(status_code=status, headers=headers)))
        await writer.drain()
        return http.our_state is h11.DONE and http.their_state is h11.DONE
