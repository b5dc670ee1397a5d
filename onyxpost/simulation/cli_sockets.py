"""The commands that use sockets on loopback: `load`, `stubs` and `planner-cluster`."""

from __future__ import annotations

import sys
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import report_operator_errors
from onyxpost.simulation.cli_options import ANY_FILE, FILE, FOLDER, pass_options, seconds_out_option
from onyxpost.simulation.cli_output import echo_violations, exit_code

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.planner_cluster import ClusterOptions

EXAMPLE_NODE_FILE = "deploy/example-node.json"
MAX_CUSTOMER_IDS = 2**32
MAX_CLUSTER_CUSTOMERS = 1000
MAX_STUB_SERVERS = 200
MAX_FIRST_PORT = 65_000  # the other servers use the ports after the first
MIN_STUB_SECONDS = 0.1
MAX_STUB_SECONDS = 3600.0
MAX_PRINTED_VIOLATIONS = 5


class LoadOptions(NamedTuple):
    """The parsed arguments of `load`."""

    address: str
    node_file: Path
    rate: float
    seconds: float
    customers: int
    connections: int
    seed: int
    out: Path | None


class StubOptions(NamedTuple):
    """The parsed arguments of `stubs`."""

    out: Path
    example: Path
    servers: int
    delay: float  # latency of the servers, in ms
    port: int
    discovery: str
    faults: Path | None
    seconds: float


class PlannerClusterOptions(NamedTuple):
    """The parsed arguments of `planner-cluster`; `rate` and `quota` are per second."""

    forwarders: int
    planners: int
    seconds: float
    rate: float
    seed: int
    kills: float  # mean time between two kills, in seconds; 0: no kills
    customers: int
    quota: float  # units of each customer per second
    burst: float  # units that a customer may use at once
    gossip: bool
    logs: Path | None


@click.command()
@click.argument("address")
@click.option("--node", "node_file", required=True, type=ANY_FILE, help="The node's JSON file.")
@click.option("--rate", default=50.0, show_default=True, help="Mean number of requests per second.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--customers", type=click.IntRange(1, MAX_CUSTOMER_IDS), default=20, show_default=True)
@click.option("--connections", default=200, show_default=True, help="Maximal number of open connections.")
@click.option("--seed", default=1, show_default=True)
@seconds_out_option
@report_operator_errors
@pass_options(LoadOptions)
def load(options: LoadOptions) -> None:
    """Send open-loop load to the node at ADDRESS, on loopback only."""
    from onyxpost.config.address import parse_address
    from onyxpost.node import config
    from onyxpost.simulation import load as generator

    load_options = generator.LoadOptions(
        options.rate, options.seconds, options.customers, options.connections, options.seed
    )
    generator.check_options(load_options)
    target = generator.require_loopback(parse_address(options.address))
    deployment = config.read_config({"EDGE_CONFIG": str(options.node_file)}).deployment
    load_results = generator.generate_load(target, deployment, load_options)
    click.echo(load_results.to_text())
    if options.out is not None:
        results.write(options.out, results.encode(load_results.to_lines(load_options)))


@click.command()
@click.argument("out", type=FILE)
@click.option("--example", type=ANY_FILE, default=EXAMPLE_NODE_FILE, show_default=True)
@click.option("--servers", type=click.IntRange(1, MAX_STUB_SERVERS), default=3, show_default=True)
@click.option("--delay", default=20.0, show_default=True, help="Latency of the servers, in ms.")
@click.option(
    "--port",
    type=click.IntRange(0, MAX_FIRST_PORT),
    default=0,
    help="Port of the first server; 0: any free ports.",
)
@click.option("--discovery", default="127.0.0.1:8500", show_default=True)
@click.option("--faults", type=ANY_FILE, help="A TOML file with [[faults]].")
@click.option(
    "--seconds",
    type=click.FloatRange(MIN_STUB_SECONDS, MAX_STUB_SECONDS),
    default=600.0,
    show_default=True,
)
@report_operator_errors
@pass_options(StubOptions)
def stubs(options: StubOptions) -> None:
    """Run stub app servers and a discovery agent for one node, and write the node file to OUT."""
    import asyncio

    from onyxpost.config.address import parse_address
    from onyxpost.simulation import stub_upstreams
    from onyxpost.simulation.load import require_loopback

    script = stub_upstreams.StubFaultScript()
    if options.faults is not None:
        script = stub_upstreams.read_fault_script(options.faults, options.servers)
    discovery = require_loopback(parse_address(options.discovery))
    environment = stub_upstreams.StubEnvironment(options.servers, options.delay, options.port, discovery)

    def on_ready() -> None:
        stub_upstreams.write_node_file(options.example, options.out, environment)
        click.echo(
            f"{options.servers} app servers, discovery agent at {options.discovery};"
            f" node file written to {options.out}",
            err=True,
        )

    log = partial(click.echo, err=True)
    try:
        served = asyncio.run(
            stub_upstreams.run_environment(environment, script, options.seconds, on_ready, log)
        )
    except KeyboardInterrupt:
        return
    click.echo(f"{served} requests served")


@click.command("planner-cluster")
@click.option("--forwarders", default=20, show_default=True)
@click.option("--planners", default=3, show_default=True)
@click.option("--seconds", default=30.0, show_default=True)
@click.option(
    "--rate", default=150.0, show_default=True, help="Requests per second to all forwarders together."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--kills", default=3.0, show_default=True, help="Mean seconds between kills; 0: no kills.")
@click.option("--customers", type=click.IntRange(1, MAX_CLUSTER_CUSTOMERS), default=12, show_default=True)
@click.option("--quota", default=12.0, show_default=True, help="Units per second of each customer.")
@click.option("--burst", default=40.0, show_default=True, help="Units that a customer may use at once.")
@click.option("--gossip", is_flag=True, help="Run without planners; nodes share quotas by gossip.")
@click.option("--logs", type=FOLDER, help="Keep files and logs in this folder.")
@report_operator_errors
@pass_options(PlannerClusterOptions)
def planner_cluster(options: PlannerClusterOptions) -> None:
    """Run forwarders and planners as processes on loopback, and kill planners at times drawn from the seed.

    Exit 1: a request got no answer, or a hard limit was exceeded.
    """
    from onyxpost.simulation import planner_cluster as cluster

    figures, violations = cluster.run(_cluster_options(options), options.logs)
    click.echo("  ".join(f"{name} {value}" for name, value in figures.items()))
    echo_violations(
        (f"hard limit exceeded at {violation}" for violation in violations), MAX_PRINTED_VIOLATIONS
    )
    sys.exit(exit_code(violated=bool(violations) or bool(figures.get("lost"))))


def _cluster_options(options: PlannerClusterOptions) -> ClusterOptions:
    from onyxpost.simulation.planner_cluster import ClusterOptions

    return ClusterOptions(
        forwarders=options.forwarders,
        planners=options.planners,
        seconds=options.seconds,
        request_rate=options.rate,
        customers=options.customers,
        seed=options.seed,
        kill_interval_seconds=options.kills,
        use_gossip=options.gossip,
        quota_rate=options.quota,
        quota_burst=options.burst,
    )
