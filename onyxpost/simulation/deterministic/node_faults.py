"""Faults of edge nodes and of their discovery agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.deterministic.discovery_agent import AgentFailure
from onyxpost.simulation.deterministic.fault_context import FaultGroup, run_at_end
from onyxpost.simulation.deterministic.fault_script import Fault, FaultKind

if TYPE_CHECKING:
    from onyxpost.simulation.deterministic.discovery_agent import FailingAgent
    from onyxpost.simulation.deterministic.node import SimulatedNode

MIN_AGENT_DELAY_SECONDS = 0.05
MAX_EXTRA_AGENT_DELAY_SECONDS = 1.2  # some connections are open later than a node waits for one
AGENT_FAILURES = {
    FaultKind.AGENT_REFUSES: AgentFailure.REFUSES,
    FaultKind.AGENT_BUSY: AgentFailure.BUSY,
    FaultKind.AGENT_TRUNCATES: AgentFailure.TRUNCATES,
}


class NodeFaults(FaultGroup):
    """Begins each fault of edge nodes."""

    def kill(self, fault: Fault) -> None:
        """The node is killed and started again after a time."""
        node = self.node_of(fault)
        if node.is_running:
            node.kill()
            run_at_end(fault, lambda: _start_again(node))

    def restart(self, fault: Fault) -> None:
        """The node gets SIGTERM."""
        node = self.node_of(fault)
        if node.is_running:
            self.context.spawn(node.restart())

    def reload(self, fault: Fault) -> None:
        """The node gets SIGHUP."""
        node = self.node_of(fault)
        if node.is_running:
            node.reload()


class AgentFaults(FaultGroup):
    """Begins each fault of discovery agents."""

    def silence(self, fault: Fault) -> None:
        """Discovery is down for the node: its agents learn and answer nothing for a time."""
        for agent in self.node_of(fault).agents:
            agent.is_silent = True
            run_at_end(fault, agent.recover)

    def silence_polls(self, fault: Fault) -> None:
        """The open polls of the node get no answer."""
        for agent in self.node_of(fault).agents:
            agent.silence_polls()

    def reset_polls(self, fault: Fault) -> None:
        """The open polls of the node are reset."""
        for agent in self.node_of(fault).agents:
            agent.reset_polls()

    def delay_connections(self, fault: Fault) -> None:
        """The open polls are reset, and new connections to the agents are open late for a time."""
        connect_delays = self.cluster.network.connect_delays
        host = f"agent{fault.target}"
        connect_delays[host] = MIN_AGENT_DELAY_SECONDS + MAX_EXTRA_AGENT_DELAY_SECONDS * fault.magnitude
        run_at_end(fault, lambda: connect_delays.pop(host, 0.0))
        self.reset_polls(fault)

    def fail(self, fault: Fault) -> None:
        """The agents refuse connections, answer 503 or truncate their responses for a time."""
        failure = AGENT_FAILURES[fault.kind]
        for agent in self.node_of(fault).agents:
            if agent.failure is not failure:
                agent.begin_failure(failure)
                self._end_later(fault, agent, failure)

    def _end_later(self, fault: Fault, agent: FailingAgent, failure: AgentFailure) -> None:
        run_at_end(fault, lambda: self.context.spawn(agent.end_failure(failure)))


def _start_again(node: SimulatedNode) -> None:
    if not node.is_running:
        node.start()
