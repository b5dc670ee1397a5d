"""Checks of a scenario that the types of its keys cannot express; errors name the key in the file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.discrete_event.scenario_faults import LoadSurge, Partition, ZoneLost
from onyxpost.simulation.errors import InvalidFaultScriptError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.simulation.discrete_event.scenario import Scenario


def validate_scenario(scenario: Scenario, source: str) -> None:
    """Checks a scenario whose keys have the right types.

    Args:
        scenario: the scenario.
        source: path or name of the scenario, for the error.

    Raises:
        InvalidFaultScriptError: values contradict each other; the message ends with the path of a key.
    """
    for key, problem in _find_problems(scenario):
        raise InvalidFaultScriptError(f"{problem} - at `$.{key}`", source)


def _find_problems(scenario: Scenario) -> Iterable[tuple[str, str]]:
    yield from _find_invalid_ranges(scenario)
    yield from _find_invalid_work(scenario)
    yield from _find_invalid_plans(scenario)
    yield from _find_repeated_names(scenario)
    if scenario.cluster.zones > scenario.cluster.servers:
        yield "fleet.zones", "more zones than servers; each zone must have a server"
    yield from _find_invalid_faults(scenario)


def _find_invalid_ranges(scenario: Scenario) -> Iterable[tuple[str, str]]:
    network = scenario.network
    clients = scenario.clients
    ranges = {
        "fleet.speed": scenario.cluster.speed,
        "links.within_ms": network.within_zone_ms,
        "links.between_ms": network.between_zones_ms,
        "links.peer_ms": network.peer_message_ms,
        "lists.late_ms": scenario.endpoint_updates.delay_ms,
        "customers.steady": clients.demand_factor,
        "customers.greedy_times": clients.heavy_demand_factor,
        "customers.shift_s": clients.weight_change_s,
        "customers.retry_ms": clients.retry_delay_ms,
        "customers.patience": clients.disconnect_fraction,
    }
    for key, (low, high) in ranges.items():
        if low > high:
            yield key, f"minimum {low} is greater than maximum {high}"


def _find_invalid_work(scenario: Scenario) -> Iterable[tuple[str, str]]:
    for index, workload in enumerate(scenario.workloads):
        if workload.work_ms[0] > workload.work_ms[1]:
            yield f"work[{index}].work_ms", "the minimum is greater than the maximum"
        if workload.latency_objective_ms > workload.client_timeout_ms:
            yield f"work[{index}].response_target_ms", "must not be longer than `client_timeout_ms`"


def _find_invalid_plans(scenario: Scenario) -> Iterable[tuple[str, str]]:
    nodes = scenario.cluster.nodes
    for index, plan in enumerate(scenario.plans):
        min_nodes, max_nodes = plan.nodes_per_customer
        if min_nodes > max_nodes or plan.burst_s[0] > plan.burst_s[1]:
            yield f"plans[{index}]", "the minimum of `spread` or `burst_s` is greater than its maximum"
        if max_nodes > nodes:
            yield f"plans[{index}].spread", f"up to {max_nodes} nodes per customer, but only {nodes} nodes"


def _find_repeated_names(scenario: Scenario) -> Iterable[tuple[str, str]]:
    names_by_key = {
        "work": [workload.name for workload in scenario.workloads],
        "plans": [plan.name for plan in scenario.plans],
    }
    for key, names in names_by_key.items():
        if len(set(names)) < len(names):
            yield key, "names must be unique"


def _find_invalid_faults(scenario: Scenario) -> Iterable[tuple[str, str]]:
    zones = scenario.cluster.zones
    plans = {plan.name for plan in scenario.plans}
    for index, fault in enumerate(scenario.events):
        if isinstance(fault, ZoneLost | Partition) and fault.zone >= zones:
            yield f"events[{index}].zone", f"there are {zones} zones, numbered from 0"
        if fault.at_s >= scenario.seconds:
            yield f"events[{index}].at_s", "must be less than `seconds`, the duration of the run"
        if isinstance(fault, LoadSurge) and fault.plan and fault.plan not in plans:
            yield f"events[{index}].plan", f"no plan has the name {fault.plan}"
