"""The commands that work on loopback: load, stand-ins, a town of planners and forwarders."""

from __future__ import annotations

import sys
from functools import partial
from pathlib import Path

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import told

EXAMPLE = "deploy/example-node.json"


@click.command()
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
    address: str,
    file: Path,
    rate: float,
    seconds: float,
    customers: int,
    connections: int,
    seed: int,
    out: Path | None,
) -> None:
    """Send open-loop load to the node at ADDRESS, on loopback only."""
    from onyxpost.config.address import parse_address
    from onyxpost.node import config
    from onyxpost.simulation import load as generator

    wanted = generator.check_options(generator.LoadOptions(rate, seconds, customers, connections, seed))
    where = generator.require_loopback(parse_address(address))
    known = config.read({"EDGE_CONFIG": str(file)}).deployment
    counts = generator.generate_load(where, known, wanted)
    click.echo(counts.to_text())
    if out is not None:
        results.write(out, results.encode(counts.to_lines(wanted)))


@click.command()
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
    out: Path,
    example: Path,
    servers: int,
    delay: float,
    port: int,
    discovery: str,
    faults: Path | None,
    seconds: float,
) -> None:
    """Stand-in app servers and discovery for one node, whose file is written to OUT."""
    import asyncio

    from onyxpost.config.address import parse_address
    from onyxpost.simulation import stub_upstreams as standing
    from onyxpost.simulation.load import require_loopback

    told_faults = standing.StubFaultScript()
    if faults is not None:
        told_faults = standing.read_fault_script(faults, servers)
    at = require_loopback(parse_address(discovery))
    place = standing.StubEnvironment(servers, delay, port, at)

    def ready() -> None:
        standing.write_node_file(example, out, place)
        click.echo(f"{servers} app servers and discovery at {discovery}; the node's file is {out}", err=True)

    try:
        served = asyncio.run(
            standing.run_environment(place, told_faults, seconds, ready, partial(click.echo, err=True))
        )
    except KeyboardInterrupt:
        return
    click.echo(f"{served} pages served")


@click.command()
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
    forwarders: int,
    planners: int,
    seconds: float,
    rate: float,
    seed: int,
    kills: float,
    customers: int,
    quota: float,
    burst: float,
    gossip: bool,
    logs: Path | None,
) -> None:
    """Forwarders and planners as processes on loopback, planners killed at random from the seed.

    Exit 1: a req had no answer, or a ceiling was passed.
    """
    from onyxpost.simulation import planner_cluster

    options = planner_cluster.ClusterOptions(
        forwarders, planners, seconds, rate, customers, seed, kills, gossip, quota, burst
    )
    figures, violations = planner_cluster.run(options, logs)
    click.echo("  ".join(f"{name} {value}" for name, value in figures.items()))
    for violation in violations[:5]:
        click.echo(f"  ceiling passed at {violation}")
    sys.exit(1 if violations or figures.get("lost") else 0)
