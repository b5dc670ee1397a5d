"""Reports errors of the simulation commands to the operator."""

from __future__ import annotations

import sys
from functools import wraps
from typing import TYPE_CHECKING, ParamSpec, TypeVar

import click

from onyxpost.errors import OperatorError
from onyxpost.simulation.errors import SimulationStalledError

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_STALLED = 1
EXIT_INVALID_INPUT = 2

Parameters = ParamSpec("Parameters")
Returned = TypeVar("Returned")


def report_operator_errors(command: Callable[Parameters, Returned]) -> Callable[Parameters, Returned]:
    """Decorates a command so that an `OperatorError` ends it with one line on standard error.

    The exit code is 2 for invalid input, and 1 for a simulation that stalled, which is a bug.
    """

    @wraps(command)
    def reporting_command(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Returned:
        try:
            return command(*args, **kwargs)
        except OperatorError as err:
            click.echo(f"onyxpost: {err.to_line()}", err=True)
            sys.exit(EXIT_STALLED if isinstance(err, SimulationStalledError) else EXIT_INVALID_INPUT)

    return reporting_command
