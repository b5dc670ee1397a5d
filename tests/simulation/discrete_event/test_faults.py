"""Faults have their intended effect on a run, and invariants hold during them."""

from __future__ import annotations

from typing import Any

import pytest

from onyxpost.simulation.discrete_event.run_results import run_totals
from tests.simulation.discrete_event.small_scenario import SMALL_SCENARIO, fault_section, run_scenario


@pytest.fixture(scope="module")
def totals_without_faults() -> dict[str, Any]:
    return run_totals(run_scenario())


@pytest.mark.parametrize(
    ("fault", "metric", "min_change"),
    [
        (fault_section("hung", at_s=1, for_s=4, share=0.5), "passed_value", -0.03),
        (fault_section("slow", at_s=1, for_s=4, times=8), "mean_ms", 20.0),
        (fault_section("failing", at_s=1, for_s=4, share=1, fails=0.9), "passed_value", -0.2),
        (fault_section("surge", at_s=1, for_s=4, times=5), "tries", 100),
        (fault_section("answers-lost", at_s=1, for_s=4, share=0.5), "attempts_per_try", 0.02),
    ],
    ids=["hung", "slow", "failing", "surge", "answers-lost"],
)
def test_fault_changes_the_metric_that_it_affects(
    totals_without_faults: dict[str, Any], fault: str, metric: str, min_change: float
) -> None:
    totals = run_totals(run_scenario(fault))
    change = totals[metric] - totals_without_faults[metric]
    assert change / min_change > 1.0, f"{metric}: {totals_without_faults[metric]} to {totals[metric]}"


def test_replaced_servers_warm_up_and_all_nodes_are_notified() -> None:
    world = run_scenario(fault_section("release", at_s=1, for_s=2, share=0.5, steps=2, drain_s=1))
    servers = world.server_pool.servers
    assert sorted(servers, key=lambda server_id: int(server_id[1:]))[-2:] == ["s5", "s6"]
    known_servers = {node.name: sorted(node.endpoints.known_servers) for node in world.nodes}
    assert known_servers == {node.name: sorted(servers) for node in world.nodes}
    assert run_totals(world)["cold_load_most"] > 0.0
    assert world.invariants.violations == []


def test_killed_nodes_restart_and_need_not_answer_requests_of_their_earlier_incarnation() -> None:
    world = run_scenario(fault_section("kill", at_s=2, share=1.0))
    assert [node.incarnation for node in world.nodes] == [2, 2, 2, 2]
    assert sum(second["cut"] for second in world.metrics.seconds) > 0
    assert world.invariants.violations == []


def test_hard_limit_holds_while_planners_are_lost() -> None:
    limited = SMALL_SCENARIO.replace("spread = [1, 1]", "spread = [2, 4]\nceiling = 1.2").replace(
        "= 40", "= 8"
    )
    planners = "[planners]\ncount = 2\nlease_ms = 1000\n"
    surge = fault_section("surge", at_s=2, for_s=3, times=4)
    world = run_scenario(planners + surge + fault_section("planners-lost", at_s=3, for_s=0.5), limited)
    assert world.invariants.violations == []
    assert run_totals(world)["beyond_quota"] == 0.0
    assert world.planners is not None
    coordinators = [planner for planner in world.planners.planners.values() if planner is not None]
    assert [coordinator.epoch for coordinator in coordinators] == ["p0-2", "p1-2"]
    assert sum(coordinator.ledger.counters.spent for coordinator in coordinators) > 20


def test_connection_is_counted_at_its_server_while_a_node_holds_the_connection() -> None:
    killed_nodes = fault_section("kill", at_s=2, share=0.5)
    world = run_scenario(killed_nodes + fault_section("hung", at_s=3, for_s=1, share=0.5))
    for server in world.server_pool.servers.values():
        idle = sum(node.connections.idle_count(server.server_id) for node in world.nodes)
        in_use = sum(
            attempt.server is server and attempt.has_connection
            for node in world.nodes
            for attempt in node.pending.in_flight_attempts()
        )
        assert server.connections == idle + in_use
