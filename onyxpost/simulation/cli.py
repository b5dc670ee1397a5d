"""`onyxpost lab`: scenarios played, seeds tried, load sent, results compared."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import told
from onyxpost.simulation.cli_sockets import load, stand, town
from onyxpost.simulation.discrete_event import scenario as scenarios
from onyxpost.simulation.errors import InvalidOptionError
from onyxpost.simulation.multiprocess.cli import rig

JOBS = min(8, os.cpu_count() or 1)


@click.group()
def lab() -> None:
    """Try designs at sizes that sockets do not reach."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends as an interrupt does


for _command in (load, stand, town, rig):
    lab.add_command(_command)


@lab.command("scenarios")
def list_scenarios() -> None:
    """The scenarios that are shipped."""
    for name in scenarios.shipped():
        one = scenarios.load(name)
        click.echo(f"{name:18} {one.seconds:4.0f} s  {one.about}")


@lab.command()
@click.argument("scenario", nargs=-1, required=True)
@click.option("--seeds", default="1", show_default=True, help="Seeds, as in 1-20 or 1,4,9-12.")
@click.option("--nodes", type=int, help="Edge nodes, in place of the scenario's.")
@click.option("--servers", type=int, help="App servers, in place of the scenario's.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="JSON lines with all seconds.")
@click.option("--jobs", type=click.IntRange(1, 256), default=JOBS, show_default=True, help="Processes.")
@click.option("--with", "tried", multiple=True, help="Try a constant of the module, as Theta.PERIOD=250.")
@told
def run(
    scenario: tuple[str, ...],
    seeds: str,
    nodes: int | None,
    servers: int | None,
    out: Path | None,
    jobs: int,
    tried: tuple[str, ...],
) -> None:
    """Play SCENARIO (a TOML file, or the name of a shipped one) on the emulator.

    Exit 1: a rule was broken. Exit 2: something given cannot be used. Exit 130: interrupted; what was
    finished is kept.
    """
    from onyxpost.simulation.discrete_event import batch

    chosen, changed = batch.seeds(seeds), batch.changes(tried)
    read = [scenarios.resized(scenarios.load(name), nodes, servers) for name in scenario]
    kept, broken, began, events, interrupted = b"", 0, time.perf_counter(), 0, False
    try:
        for one in read:
            for seed, data, took in batch.many(one, chosen, jobs, changed):
                kept += data
                total = results.last(data)
                broken += total["breaches"]
                events += total["events"]
                click.echo(
                    f"{one.name:18} seed {seed:<6} passed value {total['passed_value']:.3f}"
                    f"  worst 10 s {total['worst_10s']:.3f}  denied with room {total['denied_with_room']:.3f}"
                    f"  beyond quota {total['beyond_quota']:.3f}"
                    f"  broken rules {total['breaches']}  {took:.1f} s"
                )
                for breach in results.breaches(data)[:3]:
                    click.echo(
                        f"  {breach['rule']} broken at {breach['at']:.0f} ms: node {breach['node']}, req"
                        f" {breach['req']}, server {breach['server']}: {breach['what']}"
                    )
    except KeyboardInterrupt:
        interrupted = True
    if out is not None and kept:
        results.write(out, kept)
    click.echo(f"{events / (time.perf_counter() - began):.0f} events a second", err=True)
    if interrupted:
        finished = "what was finished is kept" if kept else "nothing was finished"
        click.echo(f"interrupted: {finished}", err=True)
        sys.exit(130)
    sys.exit(1 if broken else 0)


@lab.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="A PNG with plots over time.")
@told
def compare(a: Path, b: Path, plot: Path | None) -> None:
    """What differs between results A and B beyond the spread of their seeds."""
    from onyxpost.simulation import report

    one, other = report.runs(a), report.runs(b)
    rows = report.compare(one, other)
    counts = tuple(sum(len(part) for part in side.values()) for side in (one, other))
    click.echo(report.text(rows, counts))  # type: ignore[arg-type]
    if plot is not None:
        report.plot({a.stem: one, b.stem: other}, plot)


@lab.command()
@click.option("--seeds", "wanted", default="1-200", show_default=True, help="Seeds, as in 1-20 or 1,4,9-12.")
@click.option("--jobs", type=click.IntRange(1, 256), default=JOBS, show_default=True, help="Processes.")
@click.option("--plant", default="", help="A bug to put in, to see that it is found.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="JSON lines, a seed each.")
@told
def seeds(wanted: str, jobs: int, plant: str, out: Path | None) -> None:
    """Play faults scripted from seeds on whole edge nodes under a virtual clock.

    A failing seed is shrunk to the faults that it takes; played again it does the same. Exit 1: one failed.
    """
    from onyxpost.simulation import deterministic as virtual
    from onyxpost.simulation.discrete_event import batch
    from onyxpost.simulation.mutations import MUTATIONS, is_mutation

    if not is_mutation(plant):
        what = f"no bug {plant!r}; there are: {', '.join(MUTATIONS)}"
        raise InvalidOptionError(what, "--plant")
    chosen, began = batch.seeds(wanted), time.perf_counter()
    outcomes: list[virtual.Outcome] = []
    interrupted = False
    try:
        for outcome in virtual.run_seeds(chosen, jobs, plant):
            outcomes.append(outcome)
    except KeyboardInterrupt:
        interrupted = True
    failed = [outcome for outcome in outcomes if outcome.failed]
    if out is not None and outcomes:
        results.write(out, results.encode(outcome.to_record() for outcome in outcomes))
    for outcome in failed[:5]:
        least = virtual.shrink(outcome, plant)
        click.echo(f"seed {outcome.seed}: {len(outcome.faults)} faults, {len(least.faults)} of them needed")
        for fault in least.faults:
            click.echo(
                f"  at {fault.at_seconds:.4f} s  {fault.kind} {fault.target} for {fault.duration_seconds} s"
                f" ({fault.magnitude})"
            )
        for b in least.violations[:3]:
            where = f"node {b.node}, request {b.request_id}, server {b.server}"
            click.echo(f"  {b.invariant} violated at {b.at_ms:.3f} ms: {where}: {b.description}")
    took = time.perf_counter() - began
    asked = sum(outcome.requests for outcome in outcomes)
    passed = sum(outcome.succeeded for outcome in outcomes)
    click.echo(
        f"{len(outcomes)} seeds, {len(failed)} failed; {asked} reqs, {passed} passed;"
        f" {sum(outcome.steps for outcome in outcomes)} steps checked; {took:.1f} s on {jobs} processes"
    )
    sys.exit(130 if interrupted else 1 if failed else 0)
