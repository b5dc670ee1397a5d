"""The errors of the simulator's host."""

from __future__ import annotations

from onyxpost.errors import OperatorError


class WireError(OperatorError):
    """A line that does not follow the simulator's protocol."""

    remedy = "check that simulator and host use the same protocol version and that no line was truncated"
