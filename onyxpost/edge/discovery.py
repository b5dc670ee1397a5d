"""Watches the list of servers that discovery's agent holds. I/O only."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import h11

from onyxpost.deployment import Unreadable
from onyxpost.edge import messages as m
from onyxpost.edge.exchange import READ, again, answered, message

WAIT = 5000  # ms that one watch may wait
GRACE = 1000.0  # ms past that wait in which a live agent answers
AGAIN = 100.0  # ms before the next try: within the 200 ms that keep a watch
LIST_MOST = 8 * 1024 * 1024


class Discovery:
    def __init__(
        self, address: m.Address, generation: int, post: Callable[[m.Incoming], None],
        log: Callable[[m.Log], None],
    ) -> None:  # fmt: skip
        self.address, self.generation, self.post, self.log = address, generation, post, log
        self.down = False

    async def watch(self) -> None:
        while True:
            try:
                await self.watch_on_one()
            except (OSError, h11.ProtocolError, Unreadable) as err:
                if not self.down:
                    self.down = True
                    self.log(m.Log("discovery down", {"cause": f"{type(err).__name__}: {err}"[:200]}))
                    self.post(m.ListFailed())
                await asyncio.sleep(AGAIN / 1000.0)

    async def watch_on_one(self) -> None:
        """Watch after watch on one connection, until it fails."""
        async with asyncio.timeout(GRACE / 1000.0):
            reader, writer = await asyncio.open_connection(*self.address, limit=READ)
        try:
            http = h11.Connection(h11.CLIENT)
            watching = True
            while watching:
                writer.write(message(http, self.watch_req()))
                async with asyncio.timeout((WAIT + GRACE) / 1000.0):
                    response, text = await answered(http, partial(reader.read, READ), LIST_MOST)
                if response.status_code != 200:
                    raise Unreadable(f"status {response.status_code}")
                listed = m.listed(text)
                if self.down:
                    self.down = False
                    self.log(m.Log("discovery up", {"generation": listed.generation}))
                self.generation = listed.generation
                if listed.rows or listed.complete:
                    self.post(listed)
                watching = again(http)
        finally:
            writer.transport.abort()

    def watch_req(self) -> h11.Request:
        target = f"/v1/servers?since={self.generation}&timeout_ms={WAIT}"
        return h11.Request(method="GET", target=target, headers=[("Host", "{}:{}".format(*self.address))])
