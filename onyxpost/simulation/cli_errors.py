"""How the commands of the laboratory tell what they cannot use."""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import wraps
from typing import Any

import click

from onyxpost.errors import OperatorError
from onyxpost.simulation.errors import SimulationStalledError


def told(call: Callable[..., Any]) -> Callable[..., Any]:
    """What cannot be used is told in one line, exit 2; what is a bug, exit 1."""

    @wraps(call)
    def wrapped(*args: Any, **kwargs: Any) -> Any:
        try:
            return call(*args, **kwargs)
        except OperatorError as err:
            click.echo(f"onyxpost: {err.to_line()}", err=True)
            sys.exit(1 if isinstance(err, SimulationStalledError) else 2)

    return wrapped
