"""When the endpoint states that a discovery agent holds count as known to its node.

Guards against drains that the checker counts as known too early or too late, after a poll or an agent failed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.core.types import EndpointState
from onyxpost.simulation import virtual_time
from onyxpost.simulation.deterministic.cluster import Cluster
from onyxpost.simulation.deterministic.discovery_agent import AgentFailure, FailingAgent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from onyxpost.simulation.deterministic.node import SimulatedNode


def run_scenario(scenario: Callable[[Cluster, SimulatedNode], Awaitable[None]]) -> None:
    """Runs a scenario on a cluster of one node and two servers that has run for 0.2 s."""

    async def main() -> None:
        cluster = Cluster(1, 1, 2)
        await cluster.open()
        await asyncio.sleep(0.2)
        await scenario(cluster, cluster.nodes[0])
        cluster.nodes[0].kill()

    virtual_time.run(main())


def drain(cluster: Cluster, agent: FailingAgent, server_index: int = 0) -> None:
    """Drains a server and updates its state at the agent."""
    cluster.servers[server_index].state = EndpointState.DRAINING
    agent.update_endpoint(cluster.servers[server_index].endpoint_row())


def drain_known_in_ms(cluster: Cluster, server: str = "s0-0") -> tuple[float, bool] | None:
    """Returns the ms until the drain counts as known, and whether the node received it; None if neither."""
    notification = cluster.checker.endpoint_knowledge.drain_notification("n0", server)
    if notification is None:
        return None
    return round(notification.at_ms - cluster.now_ms()), notification.was_received


def test_drain_is_known_at_once_if_the_last_poll_succeeded() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        drain(cluster, node.agent)
        assert drain_known_in_ms(cluster) == (0, True)

    run_scenario(scenario)


def test_drain_is_known_six_seconds_after_a_failed_poll_or_once_it_is_received() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        agent = node.agent
        agent.silence_polls()
        drain(cluster, agent)
        assert drain_known_in_ms(cluster) == (6000, False)
        await asyncio.sleep(5.0)  # by then the node has polled again
        known = drain_known_in_ms(cluster)
        assert known is not None
        assert known[0] < 0
        assert known[1]
        for failure in (AgentFailure.BUSY, AgentFailure.TRUNCATES):
            agent.begin_failure(failure)
            drain(cluster, agent, 1)
            assert drain_known_in_ms(cluster, "s1-0") == (6000, False)
            await agent.end_failure(failure)
            cluster.checker.endpoint_knowledge.on_discovery_replaced("n0")

    run_scenario(scenario)


def test_agent_that_refused_is_reachable_once_its_failure_has_ended() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        node.agent.begin_failure(AgentFailure.REFUSES)
        drain(cluster, node.agent)
        assert drain_known_in_ms(cluster) is None
        await asyncio.sleep(1.0)
        await node.agent.end_failure(AgentFailure.REFUSES)
        assert drain_known_in_ms(cluster) == (6000, False)

    run_scenario(scenario)


def test_silent_agent_stores_updates_only_when_it_recovers() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        node.agent.is_silent = True
        drain(cluster, node.agent)
        assert drain_known_in_ms(cluster) is None
        node.agent.recover()
        assert drain_known_in_ms(cluster) == (0, True)

    run_scenario(scenario)


def test_only_the_new_agent_counts_after_a_reload_and_not_at_once_after_a_reset_poll() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        old, new = node.agents
        new.is_silent = True
        node.reload()
        drain(cluster, old)
        assert drain_known_in_ms(cluster) is None
        new.recover()
        new.reset_polls()
        drain(cluster, new)
        assert drain_known_in_ms(cluster) == (6000, False)

    run_scenario(scenario)


def test_poll_without_changes_is_answered_within_its_timeout() -> None:
    async def scenario(cluster: Cluster, _node: SimulatedNode) -> None:
        await asyncio.sleep(20.0)
        assert [line for line in cluster.log_lines if "discovery" in line.event] == []

    run_scenario(scenario)


def test_outdated_update_does_not_undo_a_newer_one() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        earlier_row = cluster.servers[0].endpoint_row()
        drain(cluster, node.agent)
        node.agent.update_endpoint(earlier_row)
        assert node.agent.endpoints["s0-0"]["lifecycle"] == "draining"

    run_scenario(scenario)
