"""One run of the discrete-event simulation, with all its models."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.discrete_event.client_model import ClientModel
from onyxpost.simulation.discrete_event.environment import create_environment
from onyxpost.simulation.discrete_event.fault_injector import FaultInjector
from onyxpost.simulation.discrete_event.metrics import (
    MAX_CONNECTIONS_AT_SERVER,
    MAX_REQUESTS_AT_SERVERS,
    MAX_SLOW_START_LOAD_PERMILLE,
)
from onyxpost.simulation.discrete_event.node_model import NodeModel
from onyxpost.simulation.discrete_event.planner_model import PlannerModel
from onyxpost.simulation.discrete_event.server_pool import ServerPool

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.scenario import Scenario

SAMPLE_INTERVAL_MS = 100.0
IDLE_CHECK_INTERVAL_MS = 1000.0
PERMILLE = 1000.0


class World:
    """The simulated deployment of a scenario with one seed.

    The same scenario and seed always give the same events.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        environment = create_environment(scenario, seed)
        self.scenario = scenario
        self.seed = seed
        self.clock = environment.clock
        self.metrics = environment.metrics
        self.invariants = environment.invariants
        self.plans = environment.plans
        self.server_pool = ServerPool(environment)
        self.planners = (
            PlannerModel(environment, scenario.planners) if scenario.planners is not None else None
        )
        zones = scenario.cluster.zones
        self.nodes = [
            NodeModel(environment, self.planners, index, index % zones)
            for index in range(scenario.cluster.nodes)
        ]
        self.server_pool.subscribe(self.nodes)
        self.clients = ClientModel(environment, self.nodes)
        self._faults = FaultInjector(environment, self.server_pool, self.nodes, self.clients, self.planners)

    def run(self) -> None:
        """Runs the scenario from its start to its end."""
        if self.planners is not None:
            self.planners.start(self.nodes)
        for node in self.nodes:
            node.set_peers(self.nodes)
            node.endpoints.set_known(self.server_pool.servers.values())
            node.start()
            self.clock.call_after(IDLE_CHECK_INTERVAL_MS, self._close_idle_connections, node)
        self.clients.start()
        self._faults.schedule(self.scenario.events)
        self.clock.call_at(SAMPLE_INTERVAL_MS, self._sample_state)
        self.clock.run_until(self.scenario.seconds * MS_PER_SECOND)
        self.invariants.finish()

    def _sample_state(self) -> None:
        """Checks the invariants that can be violated by time alone, and records the load of the servers."""
        self.invariants.check_deadlines()
        servers = self.server_pool.servers.values()
        slow_start_load = round(PERMILLE * self.invariants.max_slow_start_load())
        self.metrics.record_maximum(MAX_REQUESTS_AT_SERVERS, sum(len(server.in_flight) for server in servers))
        self.metrics.record_maximum(MAX_SLOW_START_LOAD_PERMILLE, slow_start_load)
        self.metrics.record_maximum(
            MAX_CONNECTIONS_AT_SERVER, max((server.connections for server in servers), default=0)
        )
        self.clock.call_after(SAMPLE_INTERVAL_MS, self._sample_state)

    def _close_idle_connections(self, node: NodeModel) -> None:
        if node.is_alive:
            node.connections.close_expired()
        self.clock.call_after(IDLE_CHECK_INTERVAL_MS, self._close_idle_connections, node)
