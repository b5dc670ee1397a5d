"""The app servers of a run: starts, deaths, replacements and the resulting endpoint updates."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Protocol

from onyxpost.core.types import EndpointState
from onyxpost.simulation.discrete_event.metrics import SERVERS_DIED, SERVERS_OVERLOADED
from onyxpost.simulation.discrete_event.server_model import ServerModel, ServerOptions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.simulation.discrete_event.environment import Environment


class EndpointSubscriber(Protocol):
    """The interface of an edge node to discovery and app servers."""

    def on_server_died(self, server_id: str) -> None:
        """Handles that a server died, which closes all its connections."""

    def on_endpoint_changed(self, server: ServerModel, delay_ms: float) -> None:
        """Handles a changed endpoint, of which the node is notified after a delay."""


def server_number(server_id: str) -> int:
    """Returns the number of a server in the order of starts, from 1."""
    return int(server_id[1:])


class ServerPool:
    """The app servers of a run.

    Attributes:
        servers: servers that are alive, by id, in the order of their starts.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._rng = Random(f"{environment.seed}/servers")
        self._started = 0
        self._subscribers: list[EndpointSubscriber] = []
        self.servers: dict[str, ServerModel] = {}
        cluster = environment.scenario.cluster
        for index in range(cluster.servers):
            self.start_server(index % cluster.zones, index % cluster.cells)

    def subscribe(self, subscribers: Iterable[EndpointSubscriber]) -> None:
        """Adds nodes that are notified of all later changes."""
        self._subscribers.extend(subscribers)

    def start_server(self, zone: int, cell: int) -> ServerModel:
        """Starts a server; a server started at time 0 needs no slow start."""
        self._started += 1
        environment = self._environment
        options = ServerOptions(
            server_id=f"s{self._started}",
            zone=zone,
            cell=cell,
            speed=self._rng.uniform(*environment.scenario.cluster.speed),
            started_at_ms=environment.clock.now_ms,
        )
        server_rng = Random(f"{environment.seed}/server/{self._started}")
        server = ServerModel(environment, options, server_rng, self._on_death)
        self.servers[server.server_id] = server
        return server

    def replace(self, server: ServerModel) -> None:
        """Starts a new server in the zone and cell of another server, and notifies the nodes."""
        self.notify(self.start_server(server.zone, server.cell))

    def drain(self, server: ServerModel) -> None:
        """Drains a server, and notifies the nodes."""
        server.state = EndpointState.DRAINING
        self.notify(server)

    def notify(self, server: ServerModel) -> None:
        """Notifies all nodes of the server's state, each after its own random delay."""
        for subscriber in self._subscribers:
            delay_ms = self._environment.network.endpoint_update_delay_ms()
            subscriber.on_endpoint_changed(server, delay_ms)

    def sample(self, rng: Random, share: float) -> list[ServerModel]:
        """Draws a share of the servers that are alive."""
        server_ids = sorted(self.servers, key=server_number)
        chosen = rng.sample(server_ids, round(share * len(server_ids)))
        return [self.servers[server_id] for server_id in chosen]

    def _on_death(self, server: ServerModel) -> None:
        self._environment.metrics.count(SERVERS_DIED)
        if server.was_overloaded:
            self._environment.metrics.count(SERVERS_OVERLOADED)
        for subscriber in self._subscribers:
            subscriber.on_server_died(server.server_id)
        server.state = EndpointState.GONE
        self.servers.pop(server.server_id, None)
        self.notify(server)
