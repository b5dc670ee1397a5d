"""A small installation on the virtual clock: edge nodes, app servers, discovery agents, clients, checker.

Everything but the edge nodes is a stub that speaks the published protocol. Whatever happens is reported to
the checker at the moment in which it happens.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from onyxpost.config.deployment import decode_deployment
from onyxpost.core.units import US_PER_MS
from onyxpost.simulation.deterministic.client import Clients
from onyxpost.simulation.deterministic.deployment import (
    MAX_REQUEST_UNITS,
    TOLERANCE_MS,
    ZONES,
    server_address,
)
from onyxpost.simulation.deterministic.node import LogLine, SimulatedNode
from onyxpost.simulation.deterministic.observer import ClusterObserver
from onyxpost.simulation.invariants import InvariantChecker
from onyxpost.simulation.settings import SETTINGS
from onyxpost.simulation.stubs import AppServer
from onyxpost.simulation.virtual_time import Network

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.node.edge_node import EdgeNode

MIN_UPDATE_DELAY_SECONDS = 0.01  # until an agent learns of a change
MAX_UPDATE_DELAY_SECONDS = 0.2


class Cluster:
    """One simulated installation; must be created in a running loop of virtual time.

    Attributes:
        extra_update_delay_seconds: Added to the time in which agents learn of a change.
        log_lines: All lines of all nodes' logs.
    """

    def __init__(
        self,
        seed: int,
        node_count: int,
        server_count: int,
        mutation: Callable[[EdgeNode], None] | None = None,
        settings: dict[str, Any] = SETTINGS,
    ) -> None:
        self.seed = seed
        self.mutation = mutation
        self.settings = settings
        self.network = Network(Random(f"{seed}/net"))
        self.log_lines: list[LogLine] = []
        self.extra_update_delay_seconds = 0.0
        deployment = decode_deployment(settings | {"ordinal": 0, "n_instances": node_count})
        self.frontends = {frontend.name: frontend for frontend in deployment.frontends}
        self.checker = InvariantChecker(
            drain_grace_ms=settings["rules"]["drain_grace_us"] / US_PER_MS,
            slow_start=deployment.slow_start,
            plans=deployment.plans,
            tolerance_ms=TOLERANCE_MS,
            max_request_units=MAX_REQUEST_UNITS,
        )
        client_host = self.network.host("client")
        self.observer = ClusterObserver(client_host, self.checker)
        self.clients = Clients(client_host, self.checker, self.observer, spread=node_count)
        self.nodes: list[SimulatedNode] = []
        for index in range(node_count):
            node = SimulatedNode(self, index)
            self.nodes.append(node)
            self.observer.add_node(node)
        self.servers = [self.new_server(index, 0) for index in range(server_count)]

    def now_ms(self) -> float:
        """Returns the time in ms since the start of the run."""
        return self.network.loop.time() * 1000.0

    def new_server(self, index: int, incarnation: int) -> AppServer:
        """Returns an app server that is not started yet."""
        host = self.network.host(f"s{index}.{incarnation}")
        zone = ZONES[index % len(ZONES)]
        return AppServer(host, self.observer, index, incarnation, server_address(index), zone)

    async def open(self) -> None:
        """Starts everything; the servers are warm."""
        for server in self.servers:
            await server.open()
        for node in self.nodes:
            for agent in node.agents:
                for server in self.servers:
                    agent.endpoints[server.id] = server.endpoint_row()
                await agent.open()
            node.start()

    def publish(self, server: AppServer) -> None:
        """Has every agent learn of a server's state, each after a time of its own."""
        row = server.endpoint_row()
        rng = self.network.rng
        for node in self.nodes:
            for agent in node.agents:
                delay_seconds = rng.uniform(MIN_UPDATE_DELAY_SECONDS, MAX_UPDATE_DELAY_SECONDS)
                delay_seconds = self.extra_update_delay_seconds + delay_seconds
                self.network.loop.call_later(delay_seconds, agent.update_endpoint, row)

    def publish_at_once(self, server: AppServer) -> None:
        """Has every agent learn of a server's state now."""
        row = server.endpoint_row()
        for node in self.nodes:
            for agent in node.agents:
                agent.update_endpoint(row)
