"""Outcomes of the tries of a client's request."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a try; the values are keys of result files."""

    SUCCEEDED = "passed"
    REJECTED = "denied"
    ABORTED = "aborted"
    NODE_DOWN = "cut"
    CLIENT_DISCONNECTED = "gave_up"


OutcomeCallback = Callable[[Outcome, float], None]  # arguments: outcome, and `Retry-After` in ms (0: none)
