"""A simulated edge node, whose successive incarnations listen at the same address."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from onyxpost.node import config
from onyxpost.node.edge_node import EdgeNode
from onyxpost.simulation.deterministic import deployment
from onyxpost.simulation.deterministic.discovery_agent import FailingAgent
from onyxpost.simulation.invariants import Invariant, Violation
from onyxpost.simulation.virtual_time import START_UNIX_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.node.node_config import NodeConfig
    from onyxpost.simulation.deterministic.observer import ClusterObserver
    from onyxpost.simulation.invariants import InvariantChecker
    from onyxpost.simulation.virtual_time import Network, VirtualHost

FAULT_EVENTS = ("fault", "overdue")  # log events of a node that are reported as violations
MAX_CAUSE_LENGTH = 300  # characters of the cause in a violation's description; its end is kept
SHUTDOWN_TIMEOUT_SECONDS = 3.0
MAX_DESCRIPTORS = 256


class LogLine(NamedTuple):
    """One event of a node's log."""

    at_ms: float
    node: str
    event: str


class SimulatedCluster(Protocol):
    """The part of the cluster's interface that its nodes use."""

    seed: int
    settings: dict[str, Any]
    mutation: Callable[[EdgeNode], None] | None
    network: Network
    checker: InvariantChecker
    observer: ClusterObserver
    nodes: list[SimulatedNode]
    log_lines: list[LogLine]


class NodeLog:
    """Records the log events of a node, and reports fault events to the checker as violations."""

    def __init__(self, cluster: SimulatedCluster, node: str) -> None:
        self._cluster = cluster
        self._node = node

    def write(
        self,
        at: float,
        event: str,
        fields: dict[str, Any],
        level: int = logging.INFO,  # noqa: ARG002 - the signature of `StructuredLog`
    ) -> None:
        """Records an event with its time `at` in Unix ms."""
        self._cluster.log_lines.append(LogLine(round(at - START_UNIX_MS, 3), self._node, event))
        if event in FAULT_EVENTS:
            cause = str(fields.get("cause", fields.get("request", "")))[-MAX_CAUSE_LENGTH:]
            violation = Violation(
                Invariant.ANSWERS, at - START_UNIX_MS, self._node, "", "", f"{event}: {cause}"
            )
            self._cluster.checker.record_violation(violation)


class SimulatedNode:
    """One edge node with its two discovery agents.

    Attributes:
        incarnation: Number of the present incarnation; 0 before the first start.
        program: The running edge node; None before the first start and after a kill.
        host: The host in the virtual network on which the present incarnation runs.
    """

    def __init__(self, cluster: SimulatedCluster, index: int) -> None:
        self._cluster = cluster
        self.index = index
        self.name = f"n{index}"
        self.address = deployment.node_address(index)
        self.peer_address = deployment.peer_address(index)
        self.agents = [self._new_agent(agent_index) for agent_index in range(deployment.AGENTS_PER_NODE)]
        self.incarnation = 0
        self.program: EdgeNode | None = None
        self.host: VirtualHost = cluster.network.host(self.name)
        self._agent_index = 0
        self._task: asyncio.Task[int] | None = None

    def _new_agent(self, agent_index: int) -> FailingAgent:
        host = self._cluster.network.host(f"agent{self.index}")
        address = deployment.agent_address(self.index, agent_index)
        return FailingAgent(host, self._cluster.observer, self.index, address)

    @property
    def agent(self) -> FailingAgent:
        """The agent that the node's configuration file currently names."""
        return self.agents[self._agent_index]

    @property
    def is_running(self) -> bool:
        """Whether the node has been started and not killed since."""
        return self.program is not None

    def is_running_incarnation(self, incarnation: int) -> bool:
        """Whether `incarnation` is the present incarnation and has not been killed."""
        return self.incarnation == incarnation and self.is_running

    def read_config(self) -> NodeConfig:
        """Returns the decoded configuration file of the node in its present state."""
        nodes = self._cluster.nodes
        settings = self._cluster.settings | {"ordinal": self.index, "n_instances": len(nodes)}
        return config.decode_config(
            {
                "name": self.name,
                "listen": deployment.format_address(self.address),
                "discovery": deployment.format_address(self.agent.address),
                "seed": f"{self._cluster.seed * 1000 + self.index * 100 + self.incarnation:x}",
                "limits": {"sockets": MAX_DESCRIPTORS},
                "peer_listen": deployment.format_address(self.peer_address),
                "peers": [deployment.format_address(node.peer_address) for node in nodes],
                "known": {"generation": self.agent.generation, "instances": self._known_rows()},
                "settings": settings,
            }
        )

    def _known_rows(self) -> list[dict[str, Any]]:
        return [row for row in self.agent.endpoints.values() if row["lifecycle"] != "removed"]

    def start(self) -> None:
        """Starts the next incarnation."""
        self.incarnation += 1
        self.host = self._cluster.network.host(f"{self.name}.{self.incarnation}")
        self.agent.known_from_ms = 0.0
        self._cluster.observer.on_endpoints_sent(self.index, self._known_rows())
        log: Any = NodeLog(self._cluster, self.name)
        self.program = EdgeNode(self.read_config(), log, self.read_config, self.host)
        if self._cluster.mutation is not None:
            self._cluster.mutation(self.program)
        self._task = asyncio.get_running_loop().create_task(self.program.run())

    def reload(self) -> None:
        """Changes the configuration file to the other agent and sends SIGHUP.

        The endpoint states that the new agent holds count as known after `RELOAD_PROPAGATION_MS`.
        """
        self._agent_index = 1 - self._agent_index
        self.agent.known_from_ms = self.host.monotonic() + deployment.RELOAD_PROPAGATION_MS
        self._cluster.checker.on_discovery_replaced(self.name)
        self._cluster.observer.on_endpoints_held(self.agent, list(self.agent.endpoints.values()))
        self.host.send_sighup()

    async def restart(self) -> None:
        """Sends SIGTERM and starts the next incarnation when this one has ended.

        An incarnation that has not ended after `SHUTDOWN_TIMEOUT_SECONDS` is a violation, and is killed.
        """
        task = self._task
        if task is None:
            return
        self.host.send_sigterm()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_SECONDS):
                await asyncio.shield(task)
        if self._task is not task:
            return
        if not task.done():
            description = f"still running {SHUTDOWN_TIMEOUT_SECONDS:g} s after SIGTERM"
            violation = Violation(Invariant.ANSWERS, self.host.monotonic(), self.name, "", "", description)
            self._cluster.checker.record_violation(violation)
        self.kill()
        self.start()

    def kill(self) -> None:
        """Ends the node as SIGKILL does; its open requests need no answer any more."""
        self._cluster.checker.on_node_killed(self.host.monotonic(), self.name)
        if self._task is not None:
            self._task.cancel()
        if self.program is not None:
            _disable(self.program)
        self._cluster.network.kill_host(self.host.name)
        self.program = None
        self._task = None


def _disable(program: EdgeNode) -> None:
    """Keeps the tasks of a killed node that still run from having any effect."""
    for task in program.upstream_pool.tasks.values():
        task.cancel()
    program.discovery.close()
    program.event_processor.post = lambda event: None  # type: ignore[method-assign]  # noqa: ARG005
    program.event_processor.queued_events.clear()
    program.close_expired_connections = lambda: None  # type: ignore[method-assign]
