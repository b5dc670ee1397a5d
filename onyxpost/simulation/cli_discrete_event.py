"""The command `simulate discrete-event`: discrete-event simulation of scenarios, one run per seed."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import report_operator_errors
from onyxpost.simulation.cli_options import SEEDS_HELP, jobs_option, pass_options, seconds_out_option
from onyxpost.simulation.cli_output import InterruptCatcher, ViolationLine, echo_violations, exit_code
from onyxpost.simulation.discrete_event import scenario_files
from onyxpost.simulation.seed_ranges import parse_seeds

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.discrete_event.policy_overrides import PolicyOverrides
    from onyxpost.simulation.discrete_event.scenario import Scenario

MAX_PRINTED_VIOLATIONS = 3  # for each run


class DiscreteEventOptions(NamedTuple):
    """The parsed arguments of the command."""

    scenario: tuple[str, ...]
    seeds: str
    nodes: int | None
    servers: int | None
    out: Path | None
    jobs: int
    overrides: tuple[str, ...]


class Batch(NamedTuple):
    """The scenarios to run, with the seeds and overridden policy constants for each of them."""

    scenarios: list[Scenario]
    seeds: list[int]
    overrides: PolicyOverrides
    jobs: int


class BatchResults:
    """The encoded result lines of the finished runs, with their total numbers of violations and events."""

    def __init__(self) -> None:
        self.data = b""
        self.violations = 0
        self.events = 0

    def add(self, data: bytes) -> None:
        """Adds the encoded lines of one run; the last line holds its totals."""
        total = results.decode_totals(data)
        self.data += data
        self.violations += total["breaches"]
        self.events += total["events"]


@click.command("discrete-event")
@click.argument("scenario", nargs=-1, required=True)
@click.option("--seeds", default="1", show_default=True, help=SEEDS_HELP)
@click.option("--nodes", type=int, help="Number of edge nodes; overrides the scenario.")
@click.option("--servers", type=int, help="Number of app servers; overrides the scenario.")
@seconds_out_option
@jobs_option
@click.option(
    "--with",
    "overrides",
    multiple=True,
    help="Override a constant of a policy, as in LatencyLoadShedder.PERIOD_MS=250.",
)
@report_operator_errors
@pass_options(DiscreteEventOptions)
def discrete_event(options: DiscreteEventOptions) -> None:
    """Run SCENARIO (a TOML file, or the name of a shipped one) in the discrete-event simulation.

    Exit 0: no invariant violated. Exit 1: an invariant was violated. Exit 2: invalid input. Exit 130:
    interrupted; the results of finished runs are kept.
    """
    batch = _create_batch(options)
    finished = BatchResults()
    started_at = time.perf_counter()
    with InterruptCatcher() as interrupt:
        for scenario in batch.scenarios:
            _run_scenario(scenario, batch, finished)
    if options.out is not None and finished.data:
        results.write(options.out, finished.data)
    events_per_second = finished.events / (time.perf_counter() - started_at)
    click.echo(f"{events_per_second:.0f} events per second", err=True)
    if interrupt.was_interrupted:
        kept = "the results of finished runs are kept" if finished.data else "no run was finished"
        click.echo(f"interrupted: {kept}", err=True)
    sys.exit(exit_code(violated=finished.violations > 0, was_interrupted=interrupt.was_interrupted))


def _create_batch(options: DiscreteEventOptions) -> Batch:
    """Reads the scenarios and checks the options. Raises InvalidSimulationInputError."""
    from onyxpost.simulation.discrete_event.policy_overrides import parse_overrides

    seeds = parse_seeds(options.seeds)
    overrides = parse_overrides(options.overrides)
    scenarios = [
        scenario_files.resize_scenario(scenario_files.load_scenario(name), options.nodes, options.servers)
        for name in options.scenario
    ]
    return Batch(scenarios, seeds, overrides, options.jobs)


def _run_scenario(scenario: Scenario, batch: Batch, finished: BatchResults) -> None:
    """Runs all seeds of one scenario; adds and prints the results of each run once it has finished."""
    from onyxpost.simulation.discrete_event.batch import run_seeds

    for seed, data, seconds in run_seeds(scenario, batch.seeds, batch.jobs, batch.overrides):
        finished.add(data)
        _echo_run(scenario.name, seed, data, seconds)


def _echo_run(name: str, seed: int, data: bytes, seconds: float) -> None:
    """Prints the totals of a run and its first violations."""
    total = results.decode_totals(data)
    click.echo(
        f"{name:18} seed {seed:<6} passed value {total['passed_value']:.3f}"
        f"  worst 10 s {total['worst_10s']:.3f}  rejected with capacity left {total['denied_with_room']:.3f}"
        f"  beyond quota {total['beyond_quota']:.3f}"
        f"  violations {total['breaches']}  {seconds:.1f} s"
    )
    violations = (
        ViolationLine(
            invariant=fields["rule"],
            at_ms=fields["at"],
            node=fields["node"],
            request=fields["req"],
            server=fields["server"],
            description=fields["what"],
        )
        for fields in results.decode_violations(data)
    )
    echo_violations(violations, MAX_PRINTED_VIOLATIONS)
