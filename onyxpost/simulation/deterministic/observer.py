"""Reports to the checker which attempts app servers receive, and which rows agents hold and send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from onyxpost.edge.messages import LIFECYCLE_STATES
from onyxpost.simulation.deterministic.deployment import CALL_WORK_MS, SERVER_CAPACITY
from onyxpost.simulation.invariants import AttemptRecord
from onyxpost.simulation.invariants.endpoint_knowledge import PROPAGATION_MS
from onyxpost.simulation.stubs import AttemptKey

if TYPE_CHECKING:
    import asyncio

    from onyxpost.simulation.deterministic.discovery_agent import FailingAgent
    from onyxpost.simulation.invariants import InvariantChecker
    from onyxpost.simulation.stubs import AppServer, ServerIdentity
    from onyxpost.simulation.virtual_time import VirtualHost


class ObservedNode(Protocol):
    """The part of a node's interface that the observer uses."""

    name: str

    @property
    def is_running(self) -> bool:
        """Whether the node has been started and not killed since."""

    @property
    def agent(self) -> FailingAgent:
        """The agent that the node polls."""


class ClusterObserver:
    """Observes all app servers and discovery agents of a cluster; implements `DiscoveryObserver`."""

    def __init__(self, clock: VirtualHost, checker: InvariantChecker) -> None:
        self._clock = clock
        self._checker = checker
        self._nodes: list[ObservedNode] = []
        self._plans: dict[str, str] = {}  # by trace id

    def add_node(self, node: ObservedNode) -> None:
        """Observes the agents of a node; nodes must be added in the order of their indexes."""
        self._nodes.append(node)

    def on_request_sent(self, trace_id: str, plan: str) -> None:
        """Records the plan of a request that a client sends."""
        self._plans[trace_id] = plan

    def on_attempt_received(
        self, writer: asyncio.StreamWriter, trace_id: str, server: ServerIdentity
    ) -> AttemptKey:
        """Reports that the last byte of an attempt has reached an app server."""
        sender: Any = writer.transport
        node = str(sender.peer.host).split(".")[0]
        now_ms = self._clock.monotonic()
        plan = self._plans.get(trace_id, "")
        attempt = AttemptRecord(
            node, trace_id, server.id, now_ms, now_ms, zone=server.zone, cell=server.cell, plan=plan
        )
        self._checker.on_attempt_sent(attempt)
        self._checker.on_call_received(now_ms, server.id, node, trace_id)
        request = self._checker.history.get(node, trace_id)
        return AttemptKey(node, len(request.attempts) - 1 if request is not None else 0)

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        """Reports that an app server is about to answer that an attempt was not executed."""
        now_ms = self._clock.monotonic()
        self._checker.on_attempt_ended(
            now_ms, attempt.sender, trace_id, attempt.attempt_index, never_executed=True
        )

    def on_endpoints_sent(self, node_index: int, rows: list[dict[str, Any]]) -> None:
        """Reports that an agent sends these rows to a node."""
        for row in rows:
            state = LIFECYCLE_STATES[row["lifecycle"]]
            now_ms = self._clock.monotonic()
            self._checker.on_endpoint_notified(now_ms, f"n{node_index}", row["instanceId"], state)

    def on_endpoints_held(self, agent: FailingAgent, rows: list[dict[str, Any]]) -> None:
        """Reports the rows that the agent polled by a node holds.

        The rows count as known at once, or `PROPAGATION_MS` later if a poll may have failed; after a SIGHUP,
        not before the agent's `known_from_ms`.
        """
        node = self._nodes[agent.node_index]
        if not node.is_running or agent is not node.agent or not agent.is_reachable:
            return
        now_ms = self._clock.monotonic()
        propagation_ms = PROPAGATION_MS if agent.may_have_failed_polls else 0.0
        within_ms = max(propagation_ms, agent.known_from_ms - now_ms)
        if within_ms <= 0.0:
            self.on_endpoints_sent(agent.node_index, rows)
            return
        for row in rows:
            state = LIFECYCLE_STATES[row["lifecycle"]]
            self._checker.on_discovery_updated(now_ms, node.name, row["instanceId"], state, within_ms)

    def on_server_started(self, server: AppServer) -> None:
        """Reports that a server has started and begins its slow start."""
        self._checker.on_server_started(self._clock.monotonic(), server.id, SERVER_CAPACITY, CALL_WORK_MS)
