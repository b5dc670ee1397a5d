"""The invariant of recovery epochs. No I/O.

Records committed before a recovery epoch may be lost. Therefore an epoch may begin only after more than half
of the acceptors lost their state.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.checker import Finding, events_of_type
from onyxpost.simulation.multiprocess.history import PROCESS_ENDS, ProcessChanged
from onyxpost.simulation.multiprocess.leadership_invariants import COMMITTED_RECORDS
from onyxpost.simulation.multiprocess.node_log import AcceptorVoting, LeadershipAcquired

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

MAX_LOG_DELAY_MS = 5.0  # maximum delay between the start of an epoch and the acceptor's log line


class RecoveryEpochsJustified:
    """Checks that each recovery epoch begins only after more than half of the acceptors lost their state.

    Args:
        acceptors: the nodes with an acceptor; they keep no state on disk.
        report_validity_ms: how long an acceptor uses the state that another one reported.
    """

    def __init__(self, acceptors: Sequence[str], report_validity_ms: float) -> None:
        self.acceptors = acceptors
        self.report_validity_ms = report_validity_ms

    def __call__(self, events: Sequence[HistoryEvent]) -> Iterator[Finding]:
        """Yields a finding for each epoch that began too early."""
        latest_epoch_ms: dict[str, float] = {}
        for acquired in events_of_type(events, LeadershipAcquired):
            if acquired.recovery_epoch_ms <= latest_epoch_ms.get(acquired.role, 0.0):
                continue
            latest_epoch_ms[acquired.role] = acquired.recovery_epoch_ms
            assert acquired.unix_ms is not None, "every line of a node's log has a Unix time"
            started_at_ms = acquired.recovery_epoch_ms - acquired.unix_ms + acquired.at_ms
            acceptors_without_state = [
                acceptor
                for acceptor in self.acceptors
                if self._had_lost_state(events, acceptor, acquired.role, started_at_ms)
            ]
            if 2 * len(acceptors_without_state) <= len(self.acceptors):
                description = (
                    f"a recovery epoch of {acquired.role} began at {started_at_ms:.0f} ms,"
                    f" when no majority of the acceptors had lost state: {acceptors_without_state or 'none'}"
                )
                yield Finding(COMMITTED_RECORDS, acquired.at_ms, acquired.node, description)

    def _had_lost_state(self, events: Sequence[HistoryEvent], acceptor: str, role: str, at_ms: float) -> bool:
        """Whether the acceptor was without state at this time, or a report of that was still valid."""
        lost_at_ms = -inf  # acceptors start without state
        for event in events:
            match event:
                case ProcessChanged(node=node) if node == acceptor and event.change in PROCESS_ENDS:
                    lost_at_ms = min(lost_at_ms, event.at_ms)
                case AcceptorVoting(node=node) if node == acceptor and event.role == role:
                    is_recent = event.at_ms >= at_ms - self.report_validity_ms
                    if lost_at_ms <= at_ms + MAX_LOG_DELAY_MS and is_recent:
                        return True
                    lost_at_ms = inf
        return lost_at_ms <= at_ms + MAX_LOG_DELAY_MS
