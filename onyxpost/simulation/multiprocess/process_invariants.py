"""The invariant that all environments share: no process fails. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.checker import Finding
from onyxpost.simulation.multiprocess.history import ProcessChanged
from onyxpost.simulation.multiprocess.node_log import RequestOverdue, UnhandledError
from onyxpost.simulation.multiprocess.process_availability import ProcessAvailability
from onyxpost.simulation.multiprocess.scheduling_lag import LONG_LAG_MS, SchedulingLag
from onyxpost.simulation.process_group import ProcessChange

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

PROCESS_FAILURES = "faults"  # name of the invariant in result files
OVERDUE_LAG_MS = 100.0  # lag up to this time before an overdue request may have caused it
MAX_CAUSE_CHARS = 300


def no_process_failures(events: Sequence[HistoryEvent]) -> Iterator[Finding]:
    """No node logs an unhandled error or an overdue request; each exits with 0 in time after SIGTERM.

    Overdue requests are excused if the node was paused past the client's timeout, or had scheduling lag.
    """
    availability = ProcessAvailability(events)
    lag = SchedulingLag(events)
    for event in events:
        match event:
            case UnhandledError():
                yield _failure(event, f"unhandled error at {event.where}", event.cause)
            case RequestOverdue() if not _is_excused(event, availability, lag):
                yield _failure(event, f"overdue request at {event.where}", event.request)
            case ProcessChanged(change=ProcessChange.STOP_TIMED_OUT | ProcessChange.CRASHED):
                description = f"did not exit with 0 in time after SIGTERM ({event.change})"
                yield Finding(PROCESS_FAILURES, event.at_ms, event.node, description)


def _is_excused(event: RequestOverdue, availability: ProcessAvailability, lag: SchedulingLag) -> bool:
    at_ms = event.at_ms
    return availability.is_unavailable(event.node, at_ms, at_ms) or lag.has_long_lag(
        event.node, at_ms - OVERDUE_LAG_MS, at_ms + LONG_LAG_MS
    )


def _failure(event: UnhandledError | RequestOverdue, title: str, cause: object) -> Finding:
    last_line = "".join(str(cause).strip().splitlines()[-1:])
    return Finding(PROCESS_FAILURES, event.at_ms, event.node, f"{title}: {last_line[-MAX_CAUSE_CHARS:]}")
