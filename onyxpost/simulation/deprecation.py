"""Old spellings of commands, options and names: they go on working, and say once what replaces them."""

from __future__ import annotations

import click

_warned: set[str] = set()


def warn_deprecated(old: str, new: str) -> None:
    """Writes to standard error that an old spelling was used; once for each spelling in a process.

    Args:
        old: the spelling that was used, with its kind where that helps, as in `--plant`.
        new: the spelling that replaces it.
    """
    if old in _warned:
        return
    _warned.add(old)
    click.echo(f"onyxpost: {old} is an old spelling; use {new}", err=True)
