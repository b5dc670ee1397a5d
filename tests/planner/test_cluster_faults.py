"""Planners and forwarders on the virtual clock: faults do not make them exceed the hard limit."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING
from unittest import mock

import pytest

from onyxpost.core.customer_name import key_of_name
from onyxpost.core.types import Plan
from onyxpost.planner.lease_ledger import LeaseLedger
from tests.planner.forwarder_model import SAFE_SHARE
from tests.planner.virtual_cluster import LEASE_TERMS, PLAN, VirtualCluster, run_cluster

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.planner.forwarder_model import ForwarderModel

# Above the extra wait of a new quorum, `HEARTBEAT_VALIDITY_MS` with a margin for clock drift (1530 ms), in
# which planners of another membership version may still grant leases.
QUORUM_WAIT_MS = 1600.0
# After this time planners have waited until older leases expired, and their buckets have tokens.
READY_SECONDS = (LEASE_TERMS.planner_duration_ms + QUORUM_WAIT_MS) / 1000.0 + 1.5


def run_ready_cluster(
    scenario: Callable[[VirtualCluster], Awaitable[None]], plan: Plan = PLAN
) -> VirtualCluster:
    """Runs a scenario on a cluster whose planners can grant leases."""

    async def wait_and_run(cluster: VirtualCluster) -> None:
        await asyncio.sleep(READY_SECONDS)
        await scenario(cluster)

    return run_cluster(wait_and_run, plan=plan)


def assert_limits_held(cluster: VirtualCluster) -> None:
    """Asserts that the hard limit was not exceeded and that each request had one final answer."""
    assert cluster.violations == []
    for forwarder in cluster.forwarders:
        assert set(forwarder.answers) <= {"forwarded", "rejected"}


def test_use_within_the_quota_is_forwarded() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        await cluster.send_traffic(20.0, 10.0, Random(1))  # 20 units per second; the quota is 40

    cluster = run_ready_cluster(scenario)
    assert_limits_held(cluster)
    answers: Counter[str] = Counter()
    for forwarder in cluster.forwarders:
        answers += forwarder.answers
    assert answers["forwarded"] > 0.9 * (answers["forwarded"] + answers["rejected"])


def test_surge_uses_over_half_of_the_quota_within_the_hard_limit() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        await cluster.send_traffic(20.0, 100.0, Random(2))  # 200 units per second; the quota is 40

    cluster = run_ready_cluster(scenario)
    assert_limits_held(cluster)
    assert cluster.units_sent["c"] > 0.6 * 40.0 * 20.0
    assert cluster.units_sent["c"] < 40.0 * 20.0 + 60.0 + 1.0


def test_leases_follow_the_traffic_to_another_forwarder() -> None:
    forwarded_shares = []

    async def scenario(cluster: VirtualCluster) -> None:
        for forwarder in cluster.forwarders[:2]:
            for _ in range(60):
                await asyncio.sleep(0.05)
                forwarder.request("c", 1)
            forwarder.answers.clear()
            for _ in range(60):  # 20 units per second, from 3 s after the traffic moved to this forwarder
                await asyncio.sleep(0.05)
                forwarder.request("c", 1)
            forwarded_shares.append(forwarder.answers["forwarded"] / 60.0)

    assert_limits_held(run_ready_cluster(scenario))
    assert len(forwarded_shares) == 2
    assert all(share > 0.95 for share in forwarded_shares), forwarded_shares


def test_planners_restarted_in_a_surge_grant_nothing_twice() -> None:
    """A restarted planner does not know its leases; if it granted at once, units would be used twice."""

    async def scenario(cluster: VirtualCluster) -> None:
        asyncio.get_running_loop().call_later(2.0, cluster.restart_all_planners)
        await cluster.send_traffic(12.0, 100.0, Random(3))

    assert_limits_held(run_ready_cluster(scenario))


def test_planner_that_grants_at_once_after_a_restart_is_detected() -> None:
    """Verifies that the check detects violations, with planners that do not wait after a restart."""

    async def scenario(cluster: VirtualCluster) -> None:
        await asyncio.sleep(3.0)
        for _ in range(12):
            await cluster.send_traffic(0.5, 150.0, Random(3))
            cluster.restart_all_planners()
            await asyncio.sleep(0.3)

    def open_with_full_buckets(ledger: LeaseLedger, now_ms: float, extra_ms: float = 0.0) -> None:
        ledger.granting_starts_at_ms = now_ms
        plan = ledger.plans["p"]
        for customer in list(ledger.accounts) or [key_of_name("c")]:
            account = ledger.get_or_create_account(now_ms, customer, plan)
            for bucket in account.buckets:
                bucket.refilled_at_ms = now_ms
                bucket.available = bucket.burst

    with mock.patch.object(LeaseLedger, "reset_and_wait", open_with_full_buckets):
        cluster = run_ready_cluster(scenario, plan=Plan("p", 400.0, 600.0, 0, 1.0, 60.0, 80.0))
    assert cluster.violations != []


def test_without_planners_forwarders_use_their_safe_shares() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        for name in cluster.planner_names:
            cluster.kill_planner(name)
        await asyncio.sleep(2.0 * LEASE_TERMS.duration_ms / 1000.0)
        cluster.units_sent.clear()
        await cluster.send_traffic(10.0, 300.0, Random(4))

    cluster = run_ready_cluster(scenario, plan=Plan("p", 400.0, 600.0, 0, 1.0, 600.0, 800.0))
    assert_limits_held(cluster)
    allowed = SAFE_SHARE * (400.0 * 10.0 + 600.0)
    assert 0.5 * allowed < cluster.units_sent["c"] <= allowed


def test_partitioned_forwarder_uses_no_more_than_its_revoked_lease() -> None:
    units_after_change = 0

    async def scenario(cluster: VirtualCluster) -> None:
        nonlocal units_after_change
        partitioned = cluster.forwarders[0]
        for _ in range(20):
            await asyncio.sleep(0.02)
            partitioned.request("c", 2)
        cluster.net.cut_off.add(partitioned.host)
        cluster.plan = Plan("p", 4.0, 6.0, 0, 1.0, 6.0, 8.0)  # fewer units than are leased
        for name in cluster.planner_names:
            cluster.planner(name).reload()
        before = cluster.units_sent["c"]
        for _ in range(100):
            await asyncio.sleep(0.02)
            for forwarder in cluster.forwarders:
                forwarder.request("c", 1)
        # `violations` are counted by the hard limit before the change. After it, forwarders may use at most
        # the units leased before it (at most the old burst of 60) and those that the new plan allows in the
        # 2 s of this loop (4 units per second).
        units_after_change = cluster.units_sent["c"] - before

    assert_limits_held(run_ready_cluster(scenario))
    assert units_after_change < 60.0 + 4.0 * 2.0


def test_forwarder_restarted_within_its_leases_duration_holds_none() -> None:
    """A restarted forwarder has no leases; the planner counts those of its previous incarnation as spent."""

    async def scenario(cluster: VirtualCluster) -> None:
        for _ in range(10):
            await cluster.send_traffic(0.4, 150.0, Random(5))
            forwarder = cluster.forwarders[0]
            forwarder.kill()
            forwarder.start()

    assert_limits_held(run_ready_cluster(scenario))


def test_planners_of_two_memberships_never_grant_at_once() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        asyncio.get_running_loop().call_later(2.0, remove_first_planner, cluster)
        await cluster.send_traffic(12.0, 150.0, Random(6))

    assert_limits_held(run_ready_cluster(scenario))


def remove_first_planner(cluster: VirtualCluster) -> None:
    """Removes p0 from the membership; p0 is not notified, and two forwarders follow only 3 s later."""
    cluster.planner_names = ["p1", "p2"]
    cluster.membership_version = 2
    for name in cluster.planner_names:
        cluster.planner(name).reload()
    loop = asyncio.get_running_loop()
    for index, forwarder in enumerate(cluster.forwarders):
        delay_seconds = 0.0 if index > 1 else 3.0
        loop.call_later(
            delay_seconds, forwarder.client.update_membership, cluster.members(), cluster.membership_version
        )


@pytest.mark.parametrize("seed", range(12))
def test_planners_killed_and_partitioned_at_random_never_exceed_the_hard_limit(seed: int) -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        rng = Random(f"{seed}/faults")
        for _ in range(14):
            schedule_random_fault(cluster, rng)
        await cluster.send_traffic(16.0, 120.0, Random(f"{seed}/traffic"))

    assert_limits_held(run_cluster(scenario, seed=seed))


def schedule_random_fault(cluster: VirtualCluster, rng: Random) -> None:
    loop = asyncio.get_running_loop()
    name = rng.choice(cluster.planner_names)
    start_seconds = rng.uniform(2.0, 14.0)
    match rng.randrange(4):
        case 0:
            loop.call_later(start_seconds, cluster.kill_planner, name)
            loop.call_later(start_seconds + rng.uniform(0.05, 3.0), start_if_down, cluster, name)
        case 1:
            forwarder = rng.choice(cluster.forwarders)
            loop.call_later(start_seconds, partition, cluster, forwarder, rng.uniform(0.1, 3.0))
        case 2:
            loop.call_later(start_seconds, rng.choice(cluster.forwarders).restart)
        case 3:
            host = cluster.planner_host(name)
            loop.call_later(start_seconds, cluster.net.cut_off.add, host)
            loop.call_later(start_seconds + rng.uniform(0.1, 3.0), cluster.net.cut_off.discard, host)


def start_if_down(cluster: VirtualCluster, name: str) -> None:
    if cluster.planners[name] is None:
        cluster.start_planner(name)


def partition(cluster: VirtualCluster, forwarder: ForwarderModel, seconds: float) -> None:
    host = forwarder.host
    cluster.net.cut_off.add(host)
    asyncio.get_running_loop().call_later(seconds, cluster.net.cut_off.discard, host)
