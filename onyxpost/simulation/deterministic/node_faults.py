"""Handlers of the faults of edge nodes and of their discovery agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.deterministic.discovery_agent import AgentFailure
from onyxpost.simulation.deterministic.fault_context import FaultGroup, run_at_end
from onyxpost.simulation.deterministic.fault_script import Fault, FaultKind

if TYPE_CHECKING:
    from onyxpost.simulation.deterministic.discovery_agent import FailingAgent
    from onyxpost.simulation.deterministic.node import SimulatedNode

MIN_AGENT_DELAY_SECONDS = 0.05
MAX_EXTRA_AGENT_DELAY_SECONDS = 1.2  # long enough that some connections exceed a node's connect timeout
AGENT_FAILURES = {
    FaultKind.AGENT_REFUSES: AgentFailure.REFUSES,
    FaultKind.AGENT_BUSY: AgentFailure.BUSY,
    FaultKind.AGENT_TRUNCATES: AgentFailure.TRUNCATES,
}


class NodeFaults(FaultGroup):
    """Handlers of the faults of edge nodes."""

    def kill(self, fault: Fault) -> None:
        """Kills the node and starts it again after the fault's duration."""
        node = self.node_of(fault)
        if node.is_running:
            node.kill()
            run_at_end(fault, lambda: _start_unless_running(node))

    def restart(self, fault: Fault) -> None:
        """Sends the node SIGTERM and starts it again when it has ended."""
        node = self.node_of(fault)
        if node.is_running:
            self.context.spawn(node.restart())

    def reload(self, fault: Fault) -> None:
        """Sends the node SIGHUP with a configuration file that names its other agent."""
        node = self.node_of(fault)
        if node.is_running:
            node.reload()


class AgentFaults(FaultGroup):
    """Handlers of the faults of discovery agents."""

    def silence(self, fault: Fault) -> None:
        """Makes the node's agents store no updates and answer no polls for the fault's duration."""
        for agent in self.node_of(fault).agents:
            agent.is_silent = True
            run_at_end(fault, agent.recover)

    def silence_polls(self, fault: Fault) -> None:
        """Leaves the open polls of the node without an answer."""
        for agent in self.node_of(fault).agents:
            agent.silence_polls()

    def reset_polls(self, fault: Fault) -> None:
        """Resets the connections of the node's open polls."""
        for agent in self.node_of(fault).agents:
            agent.reset_polls()

    def delay_connections(self, fault: Fault) -> None:
        """Resets the open polls, and delays new connections to the agents for the fault's duration."""
        connect_delays = self.cluster.network.connect_delays
        host = f"agent{fault.target}"
        connect_delays[host] = MIN_AGENT_DELAY_SECONDS + MAX_EXTRA_AGENT_DELAY_SECONDS * fault.magnitude
        run_at_end(fault, lambda: connect_delays.pop(host, 0.0))
        self.reset_polls(fault)

    def fail(self, fault: Fault) -> None:
        """Makes the agents refuse connections, answer 503 or truncate responses for the fault's duration."""
        failure = AGENT_FAILURES[fault.kind]
        for agent in self.node_of(fault).agents:
            if agent.failure is not failure:
                agent.begin_failure(failure)
                self._schedule_failure_end(fault, agent, failure)

    def _schedule_failure_end(self, fault: Fault, agent: FailingAgent, failure: AgentFailure) -> None:
        run_at_end(fault, lambda: self.context.spawn(agent.end_failure(failure)))


def _start_unless_running(node: SimulatedNode) -> None:
    if not node.is_running:
        node.start()
