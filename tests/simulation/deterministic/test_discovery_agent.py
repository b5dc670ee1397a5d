"""What an agent holds counts as known at once, or later, or not yet."""

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
    """Runs a scenario on a cluster of one node and two servers that has settled."""

    async def main() -> None:
        cluster = Cluster(1, 1, 2)
        await cluster.open()
        await asyncio.sleep(0.2)
        await scenario(cluster, cluster.nodes[0])
        cluster.nodes[0].kill()

    virtual_time.run(main())


def drain(cluster: Cluster, agent: FailingAgent, server_index: int = 0) -> None:
    """The agent learns that a server drains."""
    cluster.servers[server_index].state = EndpointState.DRAINING
    agent.update_endpoint(cluster.servers[server_index].endpoint_row())


def drain_known_in_ms(cluster: Cluster, server: str = "s0-0") -> tuple[float, bool] | None:
    """In how many ms from now the node knows of the drain, and whether it was notified of it."""
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
        await asyncio.sleep(5.0)  # the node polls again
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


def test_agent_that_refuses_is_reachable_from_its_return_on() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        node.agent.begin_failure(AgentFailure.REFUSES)
        drain(cluster, node.agent)
        assert drain_known_in_ms(cluster) is None
        await asyncio.sleep(1.0)
        await node.agent.end_failure(AgentFailure.REFUSES)
        assert drain_known_in_ms(cluster) == (6000, False)

    run_scenario(scenario)


def test_silent_agent_learns_nothing_and_everything_at_its_return() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        node.agent.is_silent = True
        drain(cluster, node.agent)
        assert drain_known_in_ms(cluster) is None
        node.agent.recover()
        assert drain_known_in_ms(cluster) == (0, True)

    run_scenario(scenario)


def test_new_agent_counts_after_a_reload_and_a_reset_poll_brings_nothing() -> None:
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


def test_poll_without_changes_is_answered_within_the_time_that_it_gives() -> None:
    async def scenario(cluster: Cluster, _node: SimulatedNode) -> None:
        await asyncio.sleep(20.0)
        assert [line for line in cluster.log_lines if "discovery" in line.event] == []

    run_scenario(scenario)


def test_late_update_takes_nothing_back() -> None:
    async def scenario(cluster: Cluster, node: SimulatedNode) -> None:
        earlier_row = cluster.servers[0].endpoint_row()
        drain(cluster, node.agent)
        node.agent.update_endpoint(earlier_row)
        assert node.agent.endpoints["s0-0"]["lifecycle"] == "draining"

    run_scenario(scenario)
