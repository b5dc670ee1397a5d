"""One planner on the virtual clock, and forwarders whose messages are sent by the test."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.planner import protocol
from onyxpost.simulation import virtual_time
from tests.planner.virtual_cluster import PLAN, VirtualCluster, planner_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from onyxpost.planner.planner import Planner

START_SECONDS = 5.0  # leases of a previous incarnation or another membership have expired by then
DELIVERY_SECONDS = 0.02  # messages on the network arrive within this time


class ScriptedForwarder:
    """One connection to the planner p0, with the name of a forwarder."""

    def __init__(self, cluster: VirtualCluster, name: str) -> None:
        self.cluster = cluster
        self.name = name

    async def connect(self) -> ScriptedForwarder:
        host = self.cluster.net.host(self.name)
        self.reader, self.writer, *_ = await host.dial(planner_address("p0"), 65536)
        self.planner_end = self.cluster.net.connections[self.name][-1].ends[1]
        return self

    async def connect_with_hello(self) -> ScriptedForwarder:
        """Connects and sends the hello."""
        await self.connect()
        self.send(protocol.Hello(1, self.name, 1))
        return self

    def send(self, *messages: protocol.Message) -> None:
        """Sends messages in one write, so that the planner reads them in one iteration of the event loop."""
        self.writer.write(b"".join(protocol.encode_frame(message) for message in messages))

    def deliver_now(self, *messages: protocol.Message) -> None:
        """Delivers messages at once: the planner reads them in this iteration of the event loop."""
        self.planner_end.receive(b"".join(protocol.encode_frame(message) for message in messages))

    async def receive(self) -> list[protocol.Message]:
        """Returns the messages that the planner has sent since the last call, without its welcome."""
        await asyncio.sleep(DELIVERY_SECONDS)
        received: list[protocol.Message] = []
        while self.reader._buffer:  # type: ignore[attr-defined]  # private: read waits while it is empty
            received.append(await protocol.read_planner_message(self.reader))
        return [message for message in received if not isinstance(message, protocol.Welcome)]

    async def receive_types(self) -> list[type[protocol.Message]]:
        return [type(message) for message in await self.receive()]


def lease_request(request_id: int = 1) -> protocol.LeaseRequest:
    return protocol.LeaseRequest(request_id, 7, "p", 3, 1, 1)


def run_planner(
    scenario: Callable[[VirtualCluster, Planner], Awaitable[None]], forwarders: int = 4
) -> VirtualCluster:
    """Runs a scenario with one planner, `START_SECONDS` after its start, and without connected forwarders."""

    async def main() -> VirtualCluster:
        cluster = VirtualCluster(1, forwarders, 1, PLAN)
        planner = cluster.start_planner("p0")
        await asyncio.sleep(START_SECONDS)
        await scenario(cluster, planner)
        cluster.stop()
        await asyncio.sleep(0.1)
        return cluster

    return virtual_time.run(main())
