"""Runs have the intended load, satisfy the invariants, and are reproducible by their seed."""

from __future__ import annotations

import pytest

from onyxpost.simulation.discrete_event.run_results import run_totals
from onyxpost.simulation.discrete_event.scenario_files import parse_scenario
from onyxpost.simulation.discrete_event.world import World
from tests.simulation.discrete_event.small_scenario import SMALL_SCENARIO, fault_section, run_scenario


def test_run_without_faults_mostly_succeeds_and_violates_no_invariant() -> None:
    world = run_scenario()
    totals = run_totals(world)
    assert totals["passed_value"] > 0.9
    assert totals["tries"] > 200
    assert world.invariants.violations == []


def test_same_seed_gives_the_same_totals_and_another_seed_other_totals() -> None:
    killed_nodes = fault_section("kill", at_s=2, share=0.5)
    first, repeated, other = (run_totals(run_scenario(killed_nodes, seed=seed)) for seed in (3, 3, 4))
    assert first == repeated
    assert first != other


def test_plans_give_the_utilization_that_the_scenario_names() -> None:
    scenario = parse_scenario(SMALL_SCENARIO, "small")
    world = World(scenario, 1)
    # Servers * cores * mean speed * ms per second / mean work in ms; one unit per request.
    capacity_units_per_second = 4 * 2 * 1.0 * 1000.0 / 50.0
    clients = scenario.clients
    used_share = clients.heavy_share + (1 - clients.heavy_share) * 0.6  # 0.6: mean of `demand_factor`
    expected = clients.utilization * capacity_units_per_second
    assert 40 * world.plans[0].rate * used_share == pytest.approx(expected, rel=0.0, abs=5e-8)
