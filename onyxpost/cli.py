"""The command line. `__main__` runs `serve` without importing this module."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from onyxpost import __version__

SIMULATE = "simulate"
DEPRECATED_SIMULATE = "lab"
SIMULATE_SUMMARY = "Run simulations, fault injection, load and reports (needs additional libraries)."
MAX_HELP_CHARS = 80


class LazySimulateGroup(click.Group):
    """A command group that imports `simulate` only when that command is run.

    The modules of `simulate` need additional libraries.
    """

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command; if `simulate` lacks a module, a usage error says how to install it."""
        if cmd_name != SIMULATE:
            return super().get_command(ctx, cmd_name)
        try:
            from onyxpost.simulation.cli import simulate
        except ModuleNotFoundError as err:
            ctx.fail(f"{SIMULATE} requires the module {err.name}: pip install -r requirements-lab.txt")
        return simulate

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Finds the command; warns about deprecated spellings of simulation commands and replaces them."""
        if args[0] in (SIMULATE, DEPRECATED_SIMULATE):
            from onyxpost.simulation.deprecation import parse_simulation_command

            command = parse_simulation_command(args)
            command.warn_if_deprecated()
            args = command.argv
        return super().resolve_command(ctx, args)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, including `simulate`."""
        return [*super().list_commands(ctx), SIMULATE]

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:  # noqa: ARG002 - as in the base class
        """Writes the list of commands and their summaries, without importing `simulate`."""
        rows = [
            (name, command.get_short_help_str(MAX_HELP_CHARS))
            for name, command in sorted(self.commands.items())
        ]
        rows.append((SIMULATE, SIMULATE_SUMMARY))
        with formatter.section("Commands"):
            formatter.write_dl(rows)


@click.group(cls=LazySimulateGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="onyxpost", message="%(prog)s %(version)s")
def main() -> None:
    """Enforces customer quotas in front of a shared back end."""


@main.command()
def serve() -> None:
    """Run one edge node, configured by EDGE_CONFIG and the other EDGE_ variables.

    Exit 0: stopped by a signal, all requests answered. Exit 1: an address cannot be bound, or the system
    refused another resource. Exit 2: the file is invalid, or the log of the node's acceptors is damaged.
    """
    from onyxpost.node.serve import serve as run_node

    sys.exit(run_node())


@main.command()
@click.argument("file")
def plan(file: str) -> None:
    """Run one planner, which grants leases of quotas, configured by the JSON FILE.

    A planner leases parts of the customers' quotas to forwarders. On SIGHUP it reads the file again: plans,
    forwarders and a later version of the planners' membership take effect at once.

    Exit 0: stopped by a signal. Exit 1: an address cannot be bound, or the system refused another resource.
    Exit 2: the file is invalid.
    """
    from onyxpost.planner.serve import serve as run_planner

    sys.exit(run_planner(file))


@main.command()
@click.argument("file", required=False)
def check(file: str | None) -> None:
    """Check the FILE of a node or planner, by default the one that EDGE_CONFIG names.

    Exit 2: the file is invalid.
    """
    from onyxpost.errors import InvalidInputError

    try:
        click.echo(_planner_summary(file) or _node_summary(file))
    except InvalidInputError as err:
        click.echo(f"onyxpost: {err.to_line()}", err=True)
        sys.exit(2)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"onyxpost {__version__}")


def _planner_summary(file: str | None) -> str | None:
    """Returns a summary of a planner's file, or None if the file is not a planner's.

    Raises:
        InvalidInputError: the file is invalid.
    """
    from onyxpost.config.decoding import decode_as
    from onyxpost.planner import config

    if not file or not config.is_planner_file(decode_as(_read_or_empty_object(file), dict, file)):
        return None
    planner = config.read_config(file)
    return (
        f"{planner.name}: planner of version {planner.membership_version},"
        f" {len(planner.forwarders)} forwarders, {len(planner.plans)} plans"
    )


def _node_summary(file: str | None) -> str:
    """Returns a summary of a node's file, by default the one that `EDGE_CONFIG` names.

    Raises:
        InvalidInputError: the file is invalid.
    """
    from onyxpost.node import config

    node = config.read_config({"EDGE_CONFIG": file} if file else os.environ)
    rules = "" if node.routing_rules is None else f", rules of version {node.routing_rules.version}"
    server_count = len(node.known_endpoints.endpoints)
    return f"{node.name}: {server_count} servers, {len(node.deployment.frontends)} frontends{rules}"


def _read_or_empty_object(file: str) -> bytes:
    """Returns the file's content, or an empty JSON object if the file cannot be opened.

    The caller then reads the file as a node's, which reports why it cannot be opened.
    """
    try:
        return Path(file).read_bytes()
    except OSError:
        return b"{}"
