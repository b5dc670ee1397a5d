"""Errors of planners and of the connections between planners and forwarders."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError, OperatorError


class SlowReaderError(OperatorError):
    """A peer reads too slowly: the send buffer of its connection is full.

    The connection is aborted; the peer may connect again.
    """

    remedy = "look at the node named: stopped, short of CPU, or behind a slow network"


class RestartRequiredError(InvalidInputError):
    """A reloaded file changes a setting that cannot change while a planner runs."""

    remedy = "put those keys back and SIGHUP again, or restart the planner with the new ones"
