"""The command group `onyxpost simulate`, with its commands that run no simulation: `scenarios`, `compare`."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import click

from onyxpost.simulation.cli_deterministic import deterministic
from onyxpost.simulation.cli_discrete_event import discrete_event
from onyxpost.simulation.cli_errors import report_operator_errors
from onyxpost.simulation.cli_options import ANY_FILE, FILE
from onyxpost.simulation.cli_sockets import load, planner_cluster, stubs
from onyxpost.simulation.discrete_event import scenario_files
from onyxpost.simulation.multiprocess.cli import processes

if TYPE_CHECKING:
    from pathlib import Path


@click.group()
def simulate() -> None:
    """Run the gateway in simulations, generate load, and compare results."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # SIGTERM is handled like SIGINT


@simulate.command("scenarios")
def list_scenarios() -> None:
    """List the shipped scenarios."""
    for name in scenario_files.shipped_scenarios():
        scenario = scenario_files.load_scenario(name)
        click.echo(f"{name:18} {scenario.seconds:4.0f} s  {scenario.about}")


@simulate.command()
@click.argument("a", type=ANY_FILE)
@click.argument("b", type=ANY_FILE)
@click.option("--plot", "plot_file", type=FILE, help="Write plots over time to this PNG file.")
@report_operator_errors
def compare(a: Path, b: Path, plot_file: Path | None) -> None:
    """Compare the result files A and B: which figures differ by more than their spread over the seeds."""
    from onyxpost.simulation import report

    runs_a = report.read_runs(a)
    runs_b = report.read_runs(b)
    rows = report.compare(runs_a, runs_b)
    counts = (_count_runs(runs_a), _count_runs(runs_b))
    click.echo(report.format_comparisons(rows, counts))
    if plot_file is not None:
        report.plot({a.stem: runs_a, b.stem: runs_b}, plot_file)


def _count_runs(runs: dict[str, list[list[dict[str, object]]]]) -> int:
    """Returns the number of runs of all scenarios."""
    return sum(len(scenario_runs) for scenario_runs in runs.values())


simulate.add_command(deterministic)
simulate.add_command(discrete_event)
simulate.add_command(load)
simulate.add_command(planner_cluster)
simulate.add_command(processes)
simulate.add_command(stubs)
