"""Errors of planners and of the connections between planners and forwarders."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError, OperatorError


class SlowReaderError(OperatorError):
    """A peer reads too slowly: the send buffer of its connection is full.

    The connection is aborted; the peer may connect again.
    """

    remedy = "check whether the named process is stopped or short of CPU, or the network to it is slow"


class RestartRequiredError(InvalidInputError):
    """A reloaded file changes a setting that cannot change while a planner runs."""

    remedy = "restore those keys and send SIGHUP again, or restart the planner with the new values"
