"""The command that runs many seeds of one scenario in turn with real processes."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import told as exit_with_remedy
from onyxpost.simulation.deprecation import warn_deprecated

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.fault_script import FaultScript
    from onyxpost.simulation.multiprocess.run_result import RunResult
    from onyxpost.simulation.multiprocess.scenario import Scenario

PRINTED_VIOLATIONS = 5
EXIT_VIOLATED = 1
EXIT_INTERRUPTED = 130
EXISTING_FILE = click.Path(dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)


class RunOptions(NamedTuple):
    """The arguments of the command, as they were given."""

    scenario: str | None
    nodes: int | None
    seeds: str
    seconds: float | None
    replay: Path | None
    mutation: str


class Batch(NamedTuple):
    """A scenario and the scripts of it that are run."""

    scenario: Scenario
    scripts: list[FaultScript]


def accept_old_option(context: click.Context, parameter: click.Parameter, value: str) -> str:  # noqa: ARG001 - called by click
    """Sets `--mutation` to the value of its old spelling."""
    if value:
        warn_deprecated("--plant", "--mutation")
        context.params["mutation"] = value
    return value


def accept_mutation(context: click.Context, parameter: click.Parameter, value: str) -> str:  # noqa: ARG001 - called by click
    """Keeps a value that the old spelling of the option has set."""
    return value or context.params.get("mutation", "")


@click.command("rig")
@click.argument("scenario", required=False)
@click.option("--nodes", type=int, help="Processes, in place of the scenario's; up to 64.")
@click.option("--seeds", default="1", show_default=True, help="Seeds, as in 1-20 or 1,4,9-12.")
@click.option("--seconds", type=float, help="In place of the scenario's; up to 600.")
@click.option("--out", type=EXISTING_FILE, help="JSON lines, a seed each.")
@click.option("--kept", type=FOLDER, help="Keep failing seeds there.")
@click.option("--replay", type=EXISTING_FILE, help="Run a kept script.json.")
@click.option(
    "--mutation", default="", callback=accept_mutation, help="Inject a known bug: it must be found."
)
@click.option(
    "--plant", default="", hidden=True, expose_value=False, is_eager=True, callback=accept_old_option
)
@exit_with_remedy
def processes(out: Path | None, kept: Path | None, **options: object) -> None:
    """Run SCENARIO (a TOML file, or the name of a shipped one) with real processes on loopback.

    Exit 0: run, no invariant violated. Exit 1: an invariant was violated. Exit 2: something given cannot be
    used. Exit 130: interrupted; what was finished is kept, and no process is left.
    """
    batch = _create_batch(RunOptions(**options))  # type: ignore[arg-type]
    finished: list[RunResult] = []
    was_interrupted = False
    try:
        for script in batch.scripts:
            finished.append(_run(batch.scenario, script, kept))  # noqa: PERF401 - kept if interrupted
    except KeyboardInterrupt:
        was_interrupted = True
    violated = sum(bool(result.violations) for result in finished)
    if out is not None and finished:
        total = {
            "kind": "total",
            "scenario": batch.scenario.name,
            "seeds": len(finished),
            "broken": violated,
        }
        lines = [result.to_result_line() for result in finished]
        results.write(out, results.encode([*lines, total]))
    if was_interrupted:
        click.echo(f"interrupted: {len(finished)} of {len(batch.scripts)} seeds were finished", err=True)
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(EXIT_VIOLATED if violated else 0)


def _run(scenario: Scenario, script: FaultScript, kept: Path | None) -> RunResult:
    """Runs one script and prints its figures."""
    from onyxpost.simulation.multiprocess.runner import kept_folder, run_script

    began = time.perf_counter()
    result = run_script(scenario, script, kept)
    counts = "  ".join(f"{name} {count}" for name, count in result.counts.items())
    click.echo(
        f"{scenario.name:16} seed {script.seed:<6} {counts}  faults {sum(result.faults.values())}"
        f"  violations {len(result.violations)}  {time.perf_counter() - began:.1f} s"
    )
    for violation in result.violations[:PRINTED_VIOLATIONS]:
        click.echo(f"  {violation.to_line()}")
    if result.violations and kept is not None:
        click.echo(f"  kept: {kept_folder(kept, script) / 'script.json'}")
    return result


def _create_batch(options: RunOptions) -> Batch:
    from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
    from onyxpost.simulation.multiprocess.scenario import shipped_scenarios

    _check_mutation(options.mutation)
    if options.scenario is not None:
        _warn_of_old_scenario_name(options.scenario)
    if options.replay is not None:
        batch = _replayed_batch(options.replay, options.scenario)
    elif options.scenario is None:
        raise InvalidScenarioError(f"no scenario; shipped are {', '.join(shipped_scenarios())}")
    else:
        batch = _drawn_batch(options, options.scenario)
    _check_mutation_fits(batch)
    return batch


def _replayed_batch(path: Path, scenario_name: str | None) -> Batch:
    from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
    from onyxpost.simulation.multiprocess.fault_script import decode_script
    from onyxpost.simulation.multiprocess.scenario import load_scenario, with_size

    try:
        script = decode_script(path.read_bytes(), str(path))
    except OSError as error:
        raise InvalidScenarioError(str(error.strerror), str(path)) from error
    scenario = load_scenario(scenario_name or script.scenario)
    return Batch(with_size(scenario, script.nodes, script.seconds), [script])


def _drawn_batch(options: RunOptions, scenario_name: str) -> Batch:
    from onyxpost.simulation.multiprocess.scenario import draw_script, load_scenario, with_size
    from onyxpost.simulation.seed_ranges import parse_seeds

    scenario = with_size(load_scenario(scenario_name), options.nodes, options.seconds)
    scripts = [draw_script(scenario, seed, options.mutation) for seed in parse_seeds(options.seeds)]
    return Batch(scenario, scripts)


def _check_mutation(name: str) -> None:
    from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
    from onyxpost.simulation.multiprocess.leadership_mutations import current_name
    from onyxpost.simulation.multiprocess.mutated_program import is_known_mutation, mutation_names

    if name and not is_known_mutation(name):
        raise InvalidScenarioError(f"no mutation {name!r}; there are {', '.join(mutation_names())}")
    if current_name(name) != name:
        warn_deprecated(f"the mutation {name}", current_name(name))


def _check_mutation_fits(batch: Batch) -> None:
    """Mutations of leader election have no effect where no roles are led."""
    from onyxpost.simulation.multiprocess.environments import LEADERSHIP, environment_name
    from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
    from onyxpost.simulation.multiprocess.leadership_mutations import LEADERSHIP_MUTATIONS, current_name

    environment = environment_name(batch.scenario)
    for script in batch.scripts:
        if environment != LEADERSHIP and current_name(script.mutation) in LEADERSHIP_MUTATIONS:
            raise InvalidScenarioError(
                f"the mutation {script.mutation!r} is of leadership, not of the environment {environment!r}",
                batch.scenario.name,
            )


def _warn_of_old_scenario_name(name: str) -> None:
    from onyxpost.simulation.multiprocess.scenario import OLD_NAMES

    if name in OLD_NAMES:
        warn_deprecated(f"the scenario {name}", OLD_NAMES[name])


rig = processes  # the name by which `simulation/cli.py` imports it
