"""Injects the faults and load changes of a scenario at their simulated times."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.discrete_event.scenario_faults import (
    AnyFault,
    FailingServers,
    Fault,
    HungServers,
    LoadSurge,
    NodesKilled,
    Partition,
    PlannersLost,
    Release,
    ResponsesLost,
    SlowServers,
    TimedFault,
    ZoneLost,
)
from onyxpost.simulation.discrete_event.server_model import ServerModel

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.discrete_event.client_model import ClientModel
    from onyxpost.simulation.discrete_event.environment import Environment
    from onyxpost.simulation.discrete_event.node_model import NodeModel
    from onyxpost.simulation.discrete_event.planner_model import PlannerModel
    from onyxpost.simulation.discrete_event.server_pool import ServerPool

ServerSetting = Callable[[ServerModel, float], None]


class FaultInjector:
    """Starts faults by their type, and ends timed faults after their duration."""

    def __init__(
        self,
        environment: Environment,
        servers: ServerPool,
        nodes: Sequence[NodeModel],
        clients: ClientModel,
        planners: PlannerModel | None,
    ) -> None:
        self._environment = environment
        self._clock = environment.clock
        self._servers = servers
        self._nodes = nodes
        self._clients = clients
        self._planners = planners
        self._rng = Random(f"{environment.seed}/troubles")
        self._handlers: dict[type[Fault], Callable[[Any], None]] = {
            Release: self._start_release,
            NodesKilled: self._kill_nodes,
            ZoneLost: self._start_zone_loss,
            Partition: self._start_partition,
            SlowServers: self._slow_servers,
            FailingServers: self._fail_servers,
            HungServers: self._hang_servers,
            LoadSurge: self._start_surge,
            ResponsesLost: self._start_response_loss,
            PlannersLost: self._kill_planners,
        }

    def schedule(self, faults: Sequence[AnyFault]) -> None:
        """Schedules the start of all faults."""
        for fault in faults:
            self._clock.call_at(fault.at_s * MS_PER_SECOND, self._handlers[type(fault)], fault)

    def _call_at_end(self, fault: TimedFault, call: Callable[..., None], *arguments: object) -> None:
        self._clock.call_after(MS_PER_SECOND * fault.duration_s, call, *arguments)

    # Servers

    def _start_release(self, fault: Release) -> None:
        servers = self._servers.sample(self._rng, fault.share)
        step_size = -(-len(servers) // fault.steps)  # rounded up
        for step in range(fault.steps):
            step_servers = servers[step * step_size : (step + 1) * step_size]
            delay_ms = MS_PER_SECOND * fault.duration_s * step / fault.steps
            self._clock.call_after(delay_ms, self._drain_servers, step_servers, fault.drain_s * MS_PER_SECOND)

    def _drain_servers(self, servers: list[ServerModel], drain_ms: float) -> None:
        for server in servers:
            if server.is_alive:
                self._servers.drain(server)
                self._clock.call_after(drain_ms, self._replace_server, server)

    def _replace_server(self, server: ServerModel) -> None:
        server.die()
        self._servers.replace(server)

    def _start_zone_loss(self, fault: ZoneLost) -> None:
        lost_servers = [server for server in self._servers.servers.values() if server.zone == fault.zone]
        for server in lost_servers:
            server.die()
        self._call_at_end(fault, self._replace_lost_servers, lost_servers)

    def _replace_lost_servers(self, lost_servers: list[ServerModel]) -> None:
        for server in lost_servers:
            self._servers.replace(server)

    def _slow_servers(self, fault: SlowServers) -> None:
        servers = self._servers.sample(self._rng, fault.share)
        self._apply_for_duration(fault, servers, ServerModel.set_slowdown, fault.factor, normal_value=1.0)

    def _fail_servers(self, fault: FailingServers) -> None:
        servers = self._servers.sample(self._rng, fault.share)
        setting = ServerModel.set_error_probability
        self._apply_for_duration(fault, servers, setting, fault.error_probability, normal_value=0.0)

    def _start_response_loss(self, fault: ResponsesLost) -> None:
        servers = list(self._servers.servers.values())
        setting = ServerModel.set_response_loss_probability
        self._apply_for_duration(fault, servers, setting, fault.share, normal_value=0.0)

    def _apply_for_duration(
        self,
        fault: TimedFault,
        servers: list[ServerModel],
        setting: ServerSetting,
        value: float,
        *,
        normal_value: float,
    ) -> None:
        self._apply_setting(servers, setting, value)
        self._call_at_end(fault, self._apply_setting, servers, setting, normal_value)

    def _apply_setting(self, servers: list[ServerModel], setting: ServerSetting, value: float) -> None:
        for server in servers:
            setting(server, value)

    def _hang_servers(self, fault: HungServers) -> None:
        servers = self._servers.sample(self._rng, fault.share)
        for server in servers:
            server.hang()
        self._call_at_end(fault, self._resume_servers, servers)

    def _resume_servers(self, servers: list[ServerModel]) -> None:
        for server in servers:
            server.resume()

    # Nodes and planners

    def _kill_nodes(self, fault: NodesKilled) -> None:
        detection_ms = MS_PER_SECOND * self._environment.scenario.clients.failure_detection_s
        for node in self._rng.sample(self._nodes, round(fault.share * len(self._nodes))):
            if node.is_alive:
                node.kill()
                self._clock.call_after(detection_ms, self._detect_failure, node)
                self._clock.call_after(MS_PER_SECOND * fault.restart_s, self._restart_node, node)

    def _detect_failure(self, node: NodeModel) -> None:
        self._clients.set_node_considered_up(node.node_index, node.is_alive)

    def _restart_node(self, node: NodeModel) -> None:
        node.start()
        self._clients.set_node_considered_up(node.node_index, True)

    def _kill_planners(self, fault: PlannersLost) -> None:
        """Kills the share of planners with the lowest indexes; they restart without state at the end."""
        planners = self._planners
        if planners is None:
            return
        for name in planners.names[: round(fault.share * len(planners.names))]:
            planners.kill_planner(name)
            self._call_at_end(fault, planners.start_planner, name)

    # Network and clients

    def _start_partition(self, fault: Partition) -> None:
        network = self._environment.network
        network.start_partition(fault)
        self._call_at_end(fault, network.end_partition)

    def _start_surge(self, fault: LoadSurge) -> None:
        customers = self._clients.start_surge(fault.plan, fault.factor)
        self._call_at_end(fault, self._clients.end_surge, customers, fault.factor)
