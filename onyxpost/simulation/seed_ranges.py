"""Parses the seeds of a command line."""

from __future__ import annotations

from onyxpost.simulation.errors import InvalidOptionError

MAX_SEED = 2**32 - 1
MAX_RANGE_LENGTH = 1_000_000


def parse_seeds(text: str) -> list[int]:
    """Parses seeds and ranges of seeds, as in `7`, `1-20` or `1,4,9-12`; returns each once, in this order.

    Raises:
        InvalidOptionError: the text is malformed, a number is out of range, or a range is too long.
    """
    seeds: list[int] = []
    try:
        for item in text.split(","):
            seeds += _parse_range(item)
    except ValueError:
        problem = f"{text!r}: expected numbers from 0 to {MAX_SEED}, as in 1-20 or 1,4,9-12"
        raise InvalidOptionError(problem, "seeds") from None
    return list(dict.fromkeys(seeds))


def _parse_range(text: str) -> range:
    low, _, high = text.partition("-")
    first = int(low)
    last = int(high or low)
    if not 0 <= first <= last <= MAX_SEED or last - first >= MAX_RANGE_LENGTH:
        raise ValueError(text)
    return range(first, last + 1)
