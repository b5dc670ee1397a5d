"""`onyxpost lab`: scenarios played, seeds tried, load sent, results compared."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from functools import partial, wraps
from pathlib import Path
from typing import Any

import click

from onyxpost.errors import OperatorError
from onyxpost.lab import results
from onyxpost.lab import scenario as scenarios
from onyxpost.lab.errors import BadOption, Stuck

EXAMPLE = "deploy/example-node.json"
JOBS = min(8, os.cpu_count() or 1)


def told(call: Callable[..., Any]) -> Callable[..., Any]:
    """What cannot be used is told in one line, exit 2; what is a bug, exit 1."""

    @wraps(call)
    def wrapped(*args: Any, **kwargs: Any) -> Any:
        try:
            return call(*args, **kwargs)
        except OperatorError as err:
            click.echo(f"onyxpost: {err.line()}", err=True)
            sys.exit(1 if isinstance(err, Stuck) else 2)

    return wrapped


@click.group()
def lab() -> None:
    """Try designs at sizes that sockets do not reach."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends as an interrupt does


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
    scenario: tuple[str, ...], seeds: str, nodes: int | None, servers: int | None, out: Path | None,
    jobs: int, tried: tuple[str, ...],
) -> None:  # fmt: skip
    """Play SCENARIO (a TOML file, or the name of a shipped one) on the emulator.

    Exit 1: a rule was broken. Exit 2: something given cannot be used. Exit 130: interrupted; what was
    finished is kept.
    """
    from onyxpost.lab import runs

    chosen, changed = runs.seeds(seeds), runs.changes(tried)
    read = [scenarios.resized(scenarios.load(name), nodes, servers) for name in scenario]
    kept, broken, began, events, interrupted = b"", 0, time.perf_counter(), 0, False
    try:
        for one in read:
            for seed, data, took in runs.many(one, chosen, jobs, changed):
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
    from onyxpost.lab import report

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
    from onyxpost.lab import runs
    from onyxpost.lab import seeds as virtual

    if plant not in virtual.PLANTS:
        what = f"no bug {plant!r}; there are: {', '.join(filter(None, virtual.PLANTS))}"
        raise BadOption(what, "--plant")
    chosen, began = runs.seeds(wanted), time.perf_counter()
    outcomes: list[virtual.Outcome] = []
    interrupted = False
    try:
        for outcome in virtual.many(chosen, jobs, plant):
            outcomes.append(outcome)
    except KeyboardInterrupt:
        interrupted = True
    failed = [outcome for outcome in outcomes if outcome.failed]
    if out is not None and outcomes:
        results.write(out, results.encode(virtual.line(outcome) for outcome in outcomes))
    for outcome in failed[:5]:
        least = virtual.shrunk(outcome, plant)
        click.echo(f"seed {outcome.seed}: {len(outcome.faults)} faults, {len(least.faults)} of them needed")
        for fault in least.faults:
            click.echo(f"  at {fault.at:.4f} s  {fault.kind} {fault.whom} for {fault.lasts} s ({fault.more})")
        for b in least.breaches[:3]:
            where = f"node {b.node}, req {b.req}, server {b.server}"
            click.echo(f"  {b.rule} broken at {b.at:.3f} ms: {where}: {b.what}")
    took = time.perf_counter() - began
    asked = sum(outcome.asked for outcome in outcomes)
    passed = sum(outcome.passed for outcome in outcomes)
    click.echo(
        f"{len(outcomes)} seeds, {len(failed)} failed; {asked} reqs, {passed} passed;"
        f" {sum(outcome.steps for outcome in outcomes)} steps checked; {took:.1f} s on {jobs} processes"
    )
    sys.exit(130 if interrupted else 1 if failed else 0)


@lab.command()
@click.argument("address")
@click.option("--node", "file", required=True, type=click.Path(path_type=Path), help="The node's JSON file.")
@click.option("--rate", default=50.0, show_default=True, help="Reqs a second, on the mean.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--customers", type=click.IntRange(1, 2**32), default=20, show_default=True)
@click.option("--connections", default=200, show_default=True, help="Most that are open at once.")
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="JSON lines with all seconds.")
@told
def load(
    address: str, file: Path, rate: float, seconds: float, customers: int, connections: int, seed: int,
    out: Path | None,
) -> None:  # fmt: skip
    """Send open-loop load to the node at ADDRESS, on loopback only."""
    from onyxpost.edge import messages, node
    from onyxpost.lab import load as sending

    wanted = sending.bounded(sending.Load(rate, seconds, customers, connections, seed))
    where = sending.loopback(messages.address(address))
    known = node.read({"EDGE_CONFIG": str(file)}).deployment
    counts = sending.send(where, known, wanted)
    click.echo(sending.text(counts))
    if out is not None:
        results.write(out, results.encode(counts.lines(wanted)))


@lab.command()
@click.argument("out", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--example", type=click.Path(path_type=Path), default=EXAMPLE, show_default=True)
@click.option("--servers", type=click.IntRange(1, 200), default=3, show_default=True)
@click.option("--delay", default=20.0, show_default=True, help="ms in which a server answers.")
@click.option("--port", type=click.IntRange(0, 65000), default=0, help="The servers' first port; 0: any.")
@click.option("--discovery", default="127.0.0.1:8500", show_default=True)
@click.option("--faults", type=click.Path(path_type=Path), help="A TOML file with [[faults]].")
@click.option("--seconds", type=click.FloatRange(0.1, 3600.0), default=600.0, show_default=True)
@told
def stand(
    out: Path, example: Path, servers: int, delay: float, port: int, discovery: str, faults: Path | None,
    seconds: float,
) -> None:  # fmt: skip
    """Stand-in app servers and discovery for one node, whose file is written to OUT."""
    import asyncio

    from onyxpost.edge import messages
    from onyxpost.lab import stand as standing
    from onyxpost.lab.load import loopback

    told_faults = standing.script(faults, servers) if faults is not None else standing.Script()
    at = loopback(messages.address(discovery))
    place = standing.Stand(servers, delay, port, at)

    def ready() -> None:
        standing.write_node(example, out, place)
        click.echo(f"{servers} app servers and discovery at {discovery}; the node's file is {out}", err=True)

    try:
        served = asyncio.run(standing.run(place, told_faults, seconds, ready, partial(click.echo, err=True)))
    except KeyboardInterrupt:
        return
    click.echo(f"{served} pages served")


@lab.command()
@click.option("--forwarders", default=20, show_default=True)
@click.option("--planners", default=3, show_default=True)
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--rate", default=150.0, show_default=True, help="Reqs a second, all together.")
@click.option("--seed", default=1, show_default=True)
@click.option("--kills", default=3.0, show_default=True, help="s between kills of a planner; 0: none.")
@click.option("--customers", type=click.IntRange(1, 1000), default=12, show_default=True)
@click.option("--quota", default=12.0, show_default=True, help="Units a second of one customer.")
@click.option("--burst", default=40.0, show_default=True, help="Units that it may use at once.")
@click.option("--gossip", is_flag=True, help="The same day by the nodes' own gossip, without planners.")
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep files and logs there.")
@told
def town(
    forwarders: int, planners: int, seconds: float, rate: float, seed: int, kills: float, customers: int,
    quota: float, burst: float, gossip: bool, logs: Path | None,
) -> None:  # fmt: skip
    """Forwarders and planners as processes on loopback, planners killed at random from the seed.

    Exit 1: a req had no answer, or a ceiling was passed.
    """
    from onyxpost.lab import town as towns

    day = towns.Day(
        forwarders, planners, seconds, rate, customers, seed, kills, gossip, quota, burst
    )
    figures, breaches = towns.play(day, logs)
    click.echo("  ".join(f"{name} {value}" for name, value in figures.items()))
    for breach in breaches[:5]:
        click.echo(f"  ceiling passed at {breach}")
    sys.exit(1 if breaches or figures.get("lost") else 0)
