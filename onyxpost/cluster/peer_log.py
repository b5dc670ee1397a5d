"""Log lines about peers and their connections."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from onyxpost.cluster.failure_detector import PeerState, PeerStateChange
from onyxpost.cluster.log_rate_limit import LogRateLimiter
from onyxpost.runtime.log_event import LogEvent, fault_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.cluster.errors import ClusterError
    from onyxpost.cluster.membership import Membership

MAX_REASON_CHARS = 200
WARNING_STATES = (PeerState.SILENT, PeerState.GONE)


class PeerLog:
    """Logs state changes, and at a limited rate rejected connections, which any remote host can cause."""

    def __init__(self, log: Callable[[LogEvent], None]) -> None:
        self._log = log
        self._rate_limiter = LogRateLimiter()
        self._are_state_changes_suppressed = False

    def suppress_state_changes(self) -> None:
        """Stops logging state changes, as this node is leaving and ends its connections itself."""
        self._are_state_changes_suppressed = True

    def log_state_change(self, change: PeerStateChange | None) -> None:
        """Logs a change of a peer's state; None stands for no change."""
        if change is None or self._are_state_changes_suppressed:
            return
        fields = {
            "peer": change.peer,
            "previous": change.previous.value,
            "previous_duration_ms": round(change.previous_duration_ms),
            "round_trip_ms": round(change.round_trip_ms, 1),
            "cause": change.reason[:MAX_REASON_CHARS],
        }
        level = logging.WARNING if change.current in WARNING_STATES else logging.INFO
        self._log(LogEvent(f"cluster peer {change.current.value}", fields, level))

    def log_rejected_connection(self, now_ms: float, err: ClusterError) -> None:
        """Logs why a connection was rejected or ended, at a limited rate per type of error.

        The event is the same for both: a timeout or a malformed frame also ends an established connection.
        """
        kind = type(err).__name__
        if occurrences := self._rate_limiter.allow(now_ms, kind):
            fields = {"kind": kind, **err.log_fields(), "times": occurrences}
            self._log(LogEvent("cluster connection rejected", fields, logging.WARNING))

    def log_membership_change(self, membership: Membership) -> None:
        """Logs that a later membership has come into force."""
        fields = {"version": membership.version, "members": len(membership.members)}
        self._log(LogEvent("cluster membership changed", fields))

    def log_rejected_membership(self, err: ClusterError) -> None:
        """Logs why a membership was not applied."""
        fields = {"kind": type(err).__name__, **err.log_fields()}
        self._log(LogEvent("cluster membership rejected", fields, logging.WARNING))

    def log_statistics(self, fields: dict[str, int]) -> None:
        """Logs the number of peers in each state, and the counters that are not zero."""
        self._log(LogEvent("cluster statistics", dict(fields)))

    def log_handler_fault(self, topic: str, err: Exception) -> None:
        """Logs an exception that a component raised while it handled a message."""
        self._log(fault_event(f"cluster topic {topic}", err))
