"""Options that several simulation commands share, and a decorator that passes options as one value."""

from __future__ import annotations

import os
from functools import wraps
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_JOBS = 256
MAX_DEFAULT_JOBS = 8
DEFAULT_JOBS = min(MAX_DEFAULT_JOBS, os.cpu_count() or 1)

SEEDS_HELP = "Seeds, as in 1-20 or 1,4,9-12."
ANY_FILE = click.Path(path_type=Path)
FILE = click.Path(dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)

jobs_option = click.option(
    "--jobs",
    type=click.IntRange(1, MAX_JOBS),
    default=DEFAULT_JOBS,
    show_default=True,
    help="Number of processes.",
)
seconds_out_option = click.option(
    "--out", type=FILE, help="Result file: JSON lines with the figures of each second."
)
seeds_out_option = click.option("--out", type=FILE, help="Result file: JSON lines, one for each seed.")

Options = TypeVar("Options")


def pass_options(
    options_type: Callable[..., Options],
) -> Callable[[Callable[[Options], None]], Callable[..., None]]:
    """Decorates a command that takes one value of `options_type`, built from its options by keyword."""

    def decorate(command: Callable[[Options], None]) -> Callable[..., None]:
        @wraps(command)
        def command_with_parameters(**parameters: object) -> None:
            command(options_type(**parameters))

        return command_with_parameters

    return decorate
