"""Runs scenarios with whole nodes on a virtual clock and network, and a fenced resource on that network."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import h11

from onyxpost.runtime.http1 import encode_message
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.virtual_cluster import FENCED_RESOURCE_ADDRESS, VirtualCluster

SETTLING_SECONDS = 5.0
READ_BYTES = 65536
TIMEOUT_MS = 500.0


def run_cluster(
    scenario: Callable[[VirtualCluster], Coroutine[Any, Any, None]], size: int = 5, **options: Any
) -> None:
    """Runs `scenario` in a cluster that has elected its leaders.

    At the end, checks that no two nodes led a role at the same time and that fencing tokens increased.
    """

    async def main() -> None:
        cluster = VirtualCluster(1, size, **options)
        await cluster.start()
        await asyncio.sleep(SETTLING_SECONDS)
        await scenario(cluster)
        await cluster.close()
        assert not cluster.overlaps
        assert cluster.tokens_increase()

    virtual_time.run(main())


class FencedResource:
    """Keeps the highest fencing token and rejects calls with a lower one; sends no response if `is_stuck`."""

    def __init__(self) -> None:
        self.highest = 0
        self.rejected = 0
        self.accepted: list[int] = []
        self.is_stuck = False

    async def listen(self, cluster: VirtualCluster) -> None:
        await cluster.network.host("taker").listen(self._serve, FENCED_RESOURCE_ADDRESS, READ_BYTES, 16)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
        if self.is_stuck or request is None:
            return
        token = int(dict(request.headers)[b"fence"])
        is_accepted = token >= self.highest
        self.highest = max(self.highest, token)
        if is_accepted:
            self.accepted.append(token)
        else:
            self.rejected += 1
        headers = [("Fence", str(self.highest)), ("Content-Length", "0")]
        response = h11.Response(status_code=200 if is_accepted else 409, headers=headers)
        writer.write(encode_message(http, response))
