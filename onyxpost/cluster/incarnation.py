"""Incarnations, which identify the starts of a node's process and order them by time.

If a node's clock is set back before a restart, its new incarnation is lower than the previous one. Its peers
then reject it with `StaleIncarnationError`, until the node is started with a later clock.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple, Self

from onyxpost.cluster.errors import MalformedFrameError

MAX_TIMESTAMP_DIGITS = 16
TOKEN_BYTES = 4


class Incarnation(NamedTuple):
    """One start of a node, as in the SWIM protocol; later incarnations compare greater.

    The text form is `<started_at_ms>-<token>`, for example `1700000000000-1a2b3c4d`.
    """

    started_at_ms: int  # Unix time
    token: str  # distinguishes two starts within one millisecond

    @classmethod
    def starting_at(cls, now_ms: float) -> Self:
        """Returns an incarnation that starts at `now_ms` (Unix time), with a random token."""
        return cls(int(now_ms), secrets.token_hex(TOKEN_BYTES))

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parses the text form. Raises MalformedFrameError if it is invalid."""
        digits, dash, token = text.partition("-")
        is_number = digits.isascii() and digits.isdigit() and len(digits) <= MAX_TIMESTAMP_DIGITS
        if not dash or not token or not is_number:
            raise MalformedFrameError(f"invalid incarnation {text[:40]!r}, expected MILLISECONDS-TOKEN")
        return cls(int(digits), token)

    def __str__(self) -> str:
        return f"{self.started_at_ms}-{self.token}"
