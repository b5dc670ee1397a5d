"""The errors of the simulator's host protocol."""

from __future__ import annotations

from onyxpost.errors import OperatorError


class WireError(OperatorError):
    """A line does not conform to the simulator's host protocol, or its settings are invalid."""

    remedy = "check that simulator and host use the same protocol version and that no line was truncated"
