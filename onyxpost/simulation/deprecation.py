"""Accepts deprecated spellings of commands, options and names, and warns once with the current spelling."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import click

if TYPE_CHECKING:
    from collections.abc import Sequence

GROUP = "simulate"
CURRENT_COMMANDS = {
    "rig": "processes",
    "run": "discrete-event",
    "seeds": "deterministic",
    "stand": "stubs",
    "town": "planner-cluster",
}
COMMANDS = ("compare", "load", "scenarios", *CURRENT_COMMANDS.values())
CURRENT_OPTIONS = {"--plant": "--mutation"}
COMMANDS_WITH_MUTATIONS = ("deterministic", "processes")
END_OF_OPTIONS = "--"

_WARNED_KEY = f"{__name__}.announced"  # key in the `meta` of a click context, which lasts for one command


class Spelling(NamedTuple):
    """A word of a command line, as given and in its current spelling."""

    given: str
    current: str


class SimulationCommand(NamedTuple):
    """A command line of the simulation in its current spelling.

    Attributes:
        argv: the whole command line in its current spelling.
        names: the group, the command and the renamed options that were given, without values and arguments.
    """

    argv: list[str]
    names: list[Spelling]

    def warn_if_deprecated(self) -> None:
        """Writes a warning to standard error if any name was given in a deprecated spelling."""
        if any(name.given != name.current for name in self.names):
            given = " ".join(name.given for name in self.names)
            current = " ".join(name.current for name in self.names)
            warn_deprecated(given, current)


def warn_deprecated(old: str, new: str) -> None:
    """Writes to standard error that a spelling is deprecated; at most one line per command.

    Args:
        old: the deprecated spelling that was used.
        new: the current spelling.
    """
    context = click.get_current_context(silent=True)
    if context is not None:
        if context.meta.get(_WARNED_KEY):
            return
        context.meta[_WARNED_KEY] = True
    click.echo(f"onyxpost: '{old}' is deprecated, use '{new}'", err=True)


def parse_simulation_command(argv: Sequence[str]) -> SimulationCommand:
    """Translates a command line, whose first word is the name of the group, into its current spelling."""
    names = [Spelling(argv[0], GROUP)]
    if len(argv) == 1:
        return SimulationCommand([GROUP], names)
    command = CURRENT_COMMANDS.get(argv[1], argv[1])
    if command in COMMANDS:
        names.append(Spelling(argv[1], command))
    arguments = list(argv[2:])
    if command in COMMANDS_WITH_MUTATIONS:
        names += _rename_options(arguments)
    return SimulationCommand([GROUP, command, *arguments], names)


def _rename_options(arguments: list[str]) -> list[Spelling]:
    """Replaces deprecated option names in place; returns the spelling of each one that it replaced, once."""
    renamed: list[Spelling] = []
    for index, argument in enumerate(arguments):
        if argument == END_OF_OPTIONS:
            break
        name, separator, value = argument.partition("=")
        if name in CURRENT_OPTIONS:
            spelling = Spelling(name, CURRENT_OPTIONS[name])
            arguments[index] = f"{spelling.current}{separator}{value}"
            if spelling not in renamed:
                renamed.append(spelling)
    return renamed
