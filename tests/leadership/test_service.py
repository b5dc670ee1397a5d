"""Leader election of whole nodes on a virtual clock and network."""

import asyncio
from dataclasses import replace

import pytest

from onyxpost.leadership.acceptor_set import AcceptorSet
from onyxpost.leadership.errors import LeadershipError
from onyxpost.leadership.leadership_log import LEADERSHIP_ACQUIRED, MESSAGE_MALFORMED
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.failover_timing import FAULTS, measure_failover, measure_idle_messages
from onyxpost.simulation.model_checking.virtual_cluster import VirtualCluster
from tests.leadership.cluster import run_cluster

ROLE = "d0"
FAILOVER_LIMITS_MS = (250.0, 2300.0, 2300.0, 2300.0)


def leaders(cluster: VirtualCluster) -> dict[str, str]:
    """The leader of each role."""
    return {role: cluster.leaders_of(role)[0] for role in cluster.config.roles}


@pytest.mark.parametrize(("fault", "limit_ms"), list(zip(FAULTS, FAILOVER_LIMITS_MS, strict=True)))
def test_another_node_leads_within_the_limit_after_a_fault_of_the_leader(fault: str, limit_ms: float) -> None:
    failover_ms, overlaps, is_record_kept = virtual_time.run(measure_failover(7, 5, fault))
    assert failover_ms < limit_ms
    assert overlaps == 0
    assert is_record_kept is True


def test_roles_are_spread_and_a_restarted_node_does_not_take_over_roles() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        before = leaders(cluster)
        assert len(set(before.values())) >= 3
        killed = before[ROLE]
        await cluster.kill(killed)
        await asyncio.sleep(4.0)
        after = leaders(cluster)
        assert killed not in after.values()
        await cluster.start(killed)
        await asyncio.sleep(8.0)
        assert leaders(cluster) == after

    run_cluster(scenario, roles=10)


def test_a_cluster_whose_nodes_are_all_killed_elects_with_a_higher_token() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        before = cluster.nodes[cluster.leaders_of(ROLE)[0]].leadership.fencing_token(ROLE)
        for name in list(cluster.nodes):
            await cluster.kill(name)
        await cluster.start()
        leader = await cluster.wait_for_leader(ROLE, timeout_ms=8000.0)
        after = cluster.nodes[leader].leadership.fencing_token(ROLE)
        assert before is not None
        assert after is not None
        assert after > before

    run_cluster(scenario)


def test_an_acceptor_that_never_returns_does_not_prevent_an_election() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        for name in list(cluster.nodes):
            await cluster.kill(name)
        await cluster.start("n01", "n02", "n03")
        await cluster.wait_for_leader(ROLE, timeout_ms=15000.0)

    run_cluster(scenario)


def test_malformed_messages_change_nothing_and_cause_one_log_line() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        (leader,) = cluster.leaders_of(ROLE)
        other = next(name for name in cluster.nodes if name != leader)
        for data in (b"", b"\x91\x01" * 500, bytes(70000)):
            cluster.nodes[other].connections.send(leader, "duties", data)
        await asyncio.sleep(3.0)
        assert cluster.leaders_of(ROLE) == [leader]
        events = [log.event.event for log in cluster.logs if log.node == leader]
        assert events.count(MESSAGE_MALFORMED) == 1

    run_cluster(scenario)


def test_acceptors_change_one_at_a_time_and_the_record_is_kept() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        cluster.nodes[cluster.leaders_of(ROLE)[0]].leadership.write(ROLE, b"kept")
        await asyncio.sleep(1.0)
        config = cluster.config
        for version, names in ((2, ("n00", "n01", "n02", "n03")), (3, ("n01", "n02", "n03"))):
            config = replace(config, acceptors=AcceptorSet(version, names, config.acceptors.names))
            for node in cluster.nodes.values():
                node.leadership.validate_reload(config)
                assert not node.leadership.reload(config)
            await asyncio.sleep(8.0)
        await cluster.kill(cluster.leaders_of(ROLE)[0])
        await cluster.wait_for_leader(ROLE)
        assert cluster.logged_fields(LEADERSHIP_ACQUIRED)[-1]["record"] == "kept"
        with pytest.raises(LeadershipError):
            next(iter(cluster.nodes.values())).leadership.validate_reload(cluster.config)

    run_cluster(scenario)


def test_idle_messages_do_not_grow_with_the_cluster() -> None:
    few = virtual_time.run(measure_idle_messages(5, duration_seconds=8.0))
    many = virtual_time.run(measure_idle_messages(20, duration_seconds=8.0))
    assert few < 40.0
    assert many < few + 40.0
