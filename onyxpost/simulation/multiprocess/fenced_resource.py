"""Who takes acts: a stand-in that keeps the highest fence of each duty and refuses lower ones. I/O.

`POST /acts/DUTY` with `Fence: N`, `Holder: name` and a body: 200, or 409 where a higher fence was seen; both
say the highest in `Fence`. Anything else is 400 with 0. Every act is recorded with its time.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Callable

import h11

from onyxpost.runtime.http1 import encode_message
from onyxpost.simulation.stubs import read_request

DUTY = re.compile(rb"/acts/([A-Za-z0-9_.-]{1,100})")
BODY_MOST = 65536


class Taker:
    """`record` is told each act; `careless`: a planted bug, fences are not looked at."""

    def __init__(self, record: Callable[..., None], careless: bool = False) -> None:
        self.record, self.careless = record, careless
        self.highest: dict[str, int] = {}
        self.acts = self.refused = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return host, port

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    def take(self, duty: str, fence: int, holder: str, body: bytes) -> bool:
        highest = self.highest.get(duty, 0)
        accepted = fence >= highest or self.careless
        self.highest[duty] = max(highest, fence)
        self.acts += accepted
        self.refused += not accepted
        self.record(
            "act",
            duty=duty,
            fence=fence,
            holder=holder,
            accepted=accepted,
            highest=self.highest[duty],
            body=body[:200].decode("latin-1"),
        )
        return accepted

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError, asyncio.CancelledError):
            while await self.one(http, reader, writer):
                http.start_next_cycle()
        writer.close()

    async def one(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        came = await read_request(http, reader, BODY_MOST)
        if came is None:
            return False
        head, body = came
        named = dict(head.headers)
        found = DUTY.fullmatch(head.target)
        fence, holder = named.get(b"fence", b""), named.get(b"holder", b"")
        status, duty = 400, ""
        if found is not None and head.method == b"POST" and fence.isdigit() and len(fence) < 20 and holder:
            duty = found[1].decode()
            status = 200 if self.take(duty, int(fence), holder.decode("latin-1"), body) else 409
        headers = [("Fence", str(self.highest.get(duty, 0))), ("Content-Length", "0")]
        writer.write(encode_message(http, h11.Response(status_code=status, headers=headers)))
        await writer.drain()
        return http.our_state is h11.DONE and http.their_state is h11.DONE
