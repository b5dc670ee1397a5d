"""Nodes with an overloaded discovery service, or with an invalid host name of discovery.

Nodes that restart together and poll simultaneously would be rejected again and again, so that some of them
never get a watch.
"""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from random import Random

import pytest

from onyxpost.edge.discovery_client import DiscoveryClient, DiscoveryOptions
from onyxpost.simulation.virtual_time import Network, run
from tests.edge.event_loop import wait_until
from tests.edge.harness import RunningNode, StubAppServer, node_fields

NODE_COUNT = 40
CALL_SECONDS = 0.125  # duration of the work for each call
MAX_WAIT_SECONDS = 2.0  # a call that would wait longer is rejected
START_SECONDS = 0.1  # time after the first call in which no call is rejected at once
WATCH_EXPIRY_SECONDS = 0.2  # time for which discovery keeps a watch without a poll
READ_SIZE_BYTES = 65536
EMPTY_LIST = b'{"generation":0,"reset":false,"instances":[]}'


class OverloadedDiscovery:
    """A discovery service with agents that start their watch with one call each.

    The service completes the work for a call even if it is abandoned. Polls for an immediate answer get the
    list that the agent has. A watch without a poll for `WATCH_EXPIRY_SECONDS` is lost.
    """

    def __init__(self) -> None:
        self.idle_at = 0.0  # time at which the queue of calls is empty
        self.called_at: list[float] = []
        self.watching_nodes: set[int] = set()

    def call(self, now: float) -> tuple[int, float]:
        """Returns the status of a call and the time of its answer."""
        self.called_at.append(now)
        wait = max(0.0, self.idle_at - now)
        if wait > MAX_WAIT_SECONDS and now - self.called_at[0] > START_SECONDS:
            return 503, now + 0.005
        self.idle_at = now + wait + CALL_SECONDS
        if wait + CALL_SECONDS <= MAX_WAIT_SECONDS:
            return 200, self.idle_at
        return 503, now + MAX_WAIT_SECONDS

    async def serve(self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        call_status = 0
        answered_at = 0.0
        last_poll_at = 0.0
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (OSError, EOFError):
                return
            if not call_status or loop.time() > last_poll_at + WATCH_EXPIRY_SECONDS:
                call_status, answered_at = self.call(loop.time())
            immediate = b"timeout_ms=1 " in head
            if not immediate:
                await asyncio.sleep(max(0.0, answered_at - loop.time()))
                if call_status == 200:
                    self.watching_nodes.add(node)
                    await asyncio.sleep(float(head.split(b"timeout_ms=")[1].split(b" ")[0]) / 1000.0)
            is_rejected = not immediate and call_status != 200
            status = call_status if is_rejected else 200
            body = b"" if is_rejected else EMPTY_LIST
            writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
            last_poll_at = loop.time()


def test_nodes_that_restart_together_all_get_a_watch_on_an_overloaded_discovery() -> None:
    async def main() -> OverloadedDiscovery:
        network = Network(Random(1))
        service = OverloadedDiscovery()
        for node in range(NODE_COUNT):
            address = (f"a{node}", 1)
            await network.host(f"agent{node}").listen(
                partial(service.serve, node), address, READ_SIZE_BYTES, 16
            )
            options = DiscoveryOptions(address, seed=node, is_shared_service=True)
            DiscoveryClient(network.host(f"n{node}"), options, lambda _: None, lambda _: None).start()
        await asyncio.sleep(20.0)
        return service

    service = run(main())
    assert len(service.watching_nodes) == NODE_COUNT
    calls_per_second = [
        sum(1 for at in service.called_at if second <= at < second + 1) for second in range(20)
    ]
    assert max(calls_per_second) <= 1.5 * NODE_COUNT


@pytest.mark.parametrize("name", ["..:1", "x" * 64 + ":1", "a\0b:1"], ids=["dots", "too-long", "nul"])
def test_an_invalid_host_name_is_down_until_sighup_names_another(name: str) -> None:
    async def main() -> None:
        async with (
            StubAppServer() as server,
            StubAppServer(None) as agent,
            RunningNode(discovery=name) as edge,
        ):
            await wait_until(lambda: b"discovery down" in edge.log_output.getvalue())
            edge.reload_fields = node_fields(server.address, discovery="{}:{}".format(*agent.address))
            signal.raise_signal(signal.SIGHUP)
            await wait_until(lambda: agent.received_heads)
            first_watch = next(iter(edge.node.discovery.watches))
            assert not first_watch.done(), first_watch

    asyncio.run(main())
