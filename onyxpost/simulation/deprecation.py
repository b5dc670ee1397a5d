"""Old spellings of commands, options and names: they go on working, and say once what replaces them."""

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

_ANNOUNCED = f"{__name__}.announced"  # key of a click context's `meta`, which lives as long as one command


class Spelling(NamedTuple):
    """A word of a command line, as it was given and as it is spelled today."""

    given: str
    current: str


class SimulationCommand(NamedTuple):
    """A command line of the simulation in today's spelling.

    Attributes:
        argv: the whole command line in today's spelling.
        names: the group, the command and the renamed options that were given, without values and arguments.
    """

    argv: list[str]
    names: list[Spelling]

    def warn_if_deprecated(self) -> None:
        """Writes one line to standard error if any name was given in its old spelling."""
        if any(name.given != name.current for name in self.names):
            given = " ".join(name.given for name in self.names)
            current = " ".join(name.current for name in self.names)
            warn_deprecated(given, current)


def warn_deprecated(old: str, new: str) -> None:
    """Writes to standard error that an old spelling was used; one line at most for each command.

    Args:
        old: the spelling that was used.
        new: the spelling that replaces it.
    """
    context = click.get_current_context(silent=True)
    if context is not None:
        if context.meta.get(_ANNOUNCED):
            return
        context.meta[_ANNOUNCED] = True
    click.echo(f"onyxpost: '{old}' is deprecated, use '{new}'", err=True)


def parse_simulation_command(argv: Sequence[str]) -> SimulationCommand:
    """Translates a command line, whose first word is the group's name, into today's spelling."""
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
    """Replaces old names of options in place; returns each that was replaced, once."""
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
