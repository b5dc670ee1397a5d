"""A small cluster on the virtual clock: edge nodes, app servers, discovery agents, clients and a checker.

The edge nodes run their production code; all other parts are stubs that speak the published protocols. Each
event is reported to the checker at the virtual time at which it happens.
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
from onyxpost.simulation.settings import DEPLOYMENT_SETTINGS
from onyxpost.simulation.stubs import AppServer
from onyxpost.simulation.virtual_time import Network

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.node.edge_node import EdgeNode

MIN_UPDATE_DELAY_SECONDS = 0.01  # from a change of an endpoint's state to its update at an agent
MAX_UPDATE_DELAY_SECONDS = 0.2


class Cluster:
    """One simulated cluster; must be created while a `VirtualTimeLoop` is running.

    Attributes:
        extra_update_delay_seconds: Added to the delay of each endpoint update to each agent.
        log_lines: The log events of all nodes, in order.
    """

    def __init__(
        self,
        seed: int,
        node_count: int,
        server_count: int,
        mutation: Callable[[EdgeNode], None] | None = None,
        settings: dict[str, Any] = DEPLOYMENT_SETTINGS,
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
        """Returns the virtual time in ms since the start of the run."""
        return self.network.loop.time() * 1000.0

    def new_server(self, index: int, incarnation: int) -> AppServer:
        """Returns an app server that does not listen yet."""
        host = self.network.host(f"s{index}.{incarnation}")
        zone = ZONES[index % len(ZONES)]
        return AppServer(host, self.observer, index, incarnation, server_address(index), zone)

    async def open(self) -> None:
        """Starts the app servers, discovery agents and edge nodes; no server is in slow start."""
        for server in self.servers:
            await server.open()
        for node in self.nodes:
            for agent in node.agents:
                for server in self.servers:
                    agent.endpoints[server.id] = server.endpoint_row()
                await agent.open()
            node.start()

    def publish(self, server: AppServer) -> None:
        """Sends a server's state to every agent, each with its own random delay."""
        row = server.endpoint_row()
        rng = self.network.rng
        for node in self.nodes:
            for agent in node.agents:
                delay_seconds = rng.uniform(MIN_UPDATE_DELAY_SECONDS, MAX_UPDATE_DELAY_SECONDS)
                delay_seconds = self.extra_update_delay_seconds + delay_seconds
                self.network.loop.call_later(delay_seconds, agent.update_endpoint, row)

    def publish_at_once(self, server: AppServer) -> None:
        """Updates a server's state at every agent without a delay."""
        row = server.endpoint_row()
        for node in self.nodes:
            for agent in node.agents:
                agent.update_endpoint(row)
