"""All app servers of a run: their start, death and replacement, and the endpoint updates about them."""

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
    """An edge node as discovery and servers reach it."""

    def on_server_died(self, server_id: str) -> None:
        """A server closed all its connections."""

    def on_endpoint_changed(self, server: ServerModel, delay_ms: float) -> None:
        """An endpoint changed; the node is notified after a delay."""


def server_number(server_id: str) -> int:
    """Returns the number of a server in the order of starts."""
    return int(server_id[1:])


class ServerPool:
    """All app servers.

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
        """Notifies nodes of all changes from now on."""
        self._subscribers.extend(subscribers)

    def start_server(self, zone: int, cell: int) -> ServerModel:
        """Starts a server; one that starts with the run is warm."""
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
        """Starts a new server in the zone and cell of another one, and notifies the nodes."""
        self.notify(self.start_server(server.zone, server.cell))

    def drain(self, server: ServerModel) -> None:
        """Has a server drain, and notifies the nodes."""
        server.state = EndpointState.DRAINING
        self.notify(server)

    def notify(self, server: ServerModel) -> None:
        """Notifies all nodes of the server's state, each after a delay of its own."""
        for subscriber in self._subscribers:
            delay_ms = self._environment.network.endpoint_update_delay_ms()
            subscriber.on_endpoint_changed(server, delay_ms)

    def sample(self, rng: Random, share: float) -> list[ServerModel]:
        """Draws a share of the servers."""
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
