"""Fault scripts of one call of the command, drawn from seeds or read from a kept file."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.deprecation import warn_deprecated
from onyxpost.simulation.multiprocess.environments import LEADERSHIP, environment_name
from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.fault_script import FaultScript, decode_script
from onyxpost.simulation.multiprocess.leadership_mutations import LEADERSHIP_MUTATIONS
from onyxpost.simulation.multiprocess.mutated_program import current_name, is_known_mutation, mutation_names
from onyxpost.simulation.multiprocess.scenario import (
    OLD_NAMES,
    Scenario,
    draw_script,
    load_scenario,
    shipped_scenarios,
    with_size,
)
from onyxpost.simulation.seed_ranges import parse_seeds

if TYPE_CHECKING:
    from pathlib import Path


class BatchOptions(NamedTuple):
    """The arguments of the command; None, or an empty `mutation`, stands for one that was not given."""

    scenario: str | None
    nodes: int | None
    seeds: str
    seconds: float | None
    replay: Path | None
    mutation: str


class Batch(NamedTuple):
    """A scenario and the fault scripts to run, in order."""

    scenario: Scenario
    scripts: list[FaultScript]


def create_batch(options: BatchOptions) -> Batch:
    """Returns the scenario and the scripts to run; old names are accepted and reported on standard error.

    Raises:
        InvalidScenarioError: an option, the scenario or the kept script is invalid.
    """
    _check_mutation(options.mutation)
    if options.scenario is not None and options.scenario in OLD_NAMES:
        warn_deprecated(options.scenario, OLD_NAMES[options.scenario])
    if options.replay is not None:
        batch = _replayed_batch(options.replay, options.scenario)
    elif options.scenario is None:
        raise InvalidScenarioError(f"no scenario given; shipped are {', '.join(shipped_scenarios())}")
    else:
        batch = _drawn_batch(options, options.scenario)
    _check_mutation_fits(batch)
    return batch


def _replayed_batch(path: Path, scenario_name: str | None) -> Batch:
    try:
        script = decode_script(path.read_bytes(), str(path))
    except OSError as error:
        raise InvalidScenarioError(str(error.strerror), str(path)) from error
    scenario = load_scenario(scenario_name or script.scenario)
    return Batch(with_size(scenario, script.nodes, script.seconds), [script])


def _drawn_batch(options: BatchOptions, scenario_name: str) -> Batch:
    scenario = with_size(load_scenario(scenario_name), options.nodes, options.seconds)
    scripts = [draw_script(scenario, seed, options.mutation) for seed in parse_seeds(options.seeds)]
    return Batch(scenario, scripts)


def _check_mutation(name: str) -> None:
    if name and not is_known_mutation(name):
        raise InvalidScenarioError(f"unknown mutation {name!r}; known are {', '.join(mutation_names())}")
    if current_name(name) != name:
        warn_deprecated(name, current_name(name))


def _check_mutation_fits(batch: Batch) -> None:
    """Refuses mutations of leader election in other environments, where they would have no effect."""
    environment = environment_name(batch.scenario)
    for script in batch.scripts:
        if environment != LEADERSHIP and current_name(script.mutation) in LEADERSHIP_MUTATIONS:
            raise InvalidScenarioError(
                f"the mutation {script.mutation!r} needs the environment 'leadership', not {environment!r}",
                batch.scenario.name,
            )
