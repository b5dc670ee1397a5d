"""Errors of a forwarder's connections to planners."""

from __future__ import annotations

from onyxpost.errors import OperatorError


class PlannerUnavailableError(OperatorError):
    """A planner cannot be reached or closed the connection, or it did not answer a lease request.

    The last applies if it left the request unanswered, and sent nothing at all, for 3 s.
    """

    remedy = "check that the planner runs at the address in this node's file; safe shares apply meanwhile"
