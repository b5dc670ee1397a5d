"""How a try of a client's request ends."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum


class Outcome(StrEnum):
    """The end of a try; the values are keys of result files."""

    SUCCEEDED = "passed"
    REJECTED = "denied"
    ABORTED = "aborted"
    NODE_DOWN = "cut"
    CLIENT_DISCONNECTED = "gave_up"


OutcomeCallback = Callable[[Outcome, float], None]  # receives the outcome and `Retry-After` in ms
