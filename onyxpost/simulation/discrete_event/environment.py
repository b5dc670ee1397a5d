"""Objects that all models of one run share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.simulation.discrete_event.event_queue import EventQueue
from onyxpost.simulation.discrete_event.invariant_recorder import InvariantRecorder
from onyxpost.simulation.discrete_event.metrics import RunMetrics
from onyxpost.simulation.discrete_event.network import Network
from onyxpost.simulation.discrete_event.workload import create_plans

if TYPE_CHECKING:
    from onyxpost.core.types import Frontend, Plan, SlowStartPolicy
    from onyxpost.simulation.discrete_event.scenario import Scenario


@dataclass(frozen=True, slots=True)
class Environment:
    """Clock, network, metrics and invariant checks of one run, with values derived from its scenario.

    Attributes:
        seed: determines all random draws; each model has its own random generator.
        clock: the simulated time in ms since the start of the run.
    """

    scenario: Scenario
    seed: int
    clock: EventQueue
    metrics: RunMetrics
    network: Network
    invariants: InvariantRecorder
    frontends: list[Frontend]
    plans: list[Plan]
    slow_start: SlowStartPolicy


def create_environment(scenario: Scenario, seed: int) -> Environment:
    """Creates the environment of a run, with its clock at 0 ms."""
    clock = EventQueue()
    metrics = RunMetrics(clock, scenario.seconds)
    plans = create_plans(scenario)
    slow_start = scenario.slow_start.policy()
    return Environment(
        scenario=scenario,
        seed=seed,
        clock=clock,
        metrics=metrics,
        network=Network(clock, metrics, scenario, seed),
        invariants=InvariantRecorder(clock, scenario, slow_start, plans),
        frontends=[workload.frontend() for workload in scenario.workloads],
        plans=plans,
        slow_start=slow_start,
    )
