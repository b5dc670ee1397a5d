"""Computes from a history when the machine, not a fault, delayed the simulation or a process. No I/O."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.checker import events_of_type
from onyxpost.simulation.multiprocess.history import LagMeasured
from onyxpost.simulation.multiprocess.process_availability import Interval

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

# Lags of at least this length excuse the violations that they may have caused. Shorter lags extend each limit
# in time.
LONG_LAG_MS = 40.0
SIMULATION = ""  # names no node: lag of the simulation's event loop, which counts for all nodes


class SchedulingLag:
    """The scheduling lag of a run.

    Attributes:
        intervals: long lags by node, each with a margin of `LONG_LAG_MS` before it.
        tolerance_ms: the longest of the shorter lags, which is added to each limit in time.
    """

    def __init__(self, events: Sequence[HistoryEvent]) -> None:
        self.intervals: dict[str, list[Interval]] = defaultdict(list)
        self.tolerance_ms = 0.0
        for event in events_of_type(events, LagMeasured):
            if event.lag_ms < LONG_LAG_MS:
                self.tolerance_ms = max(self.tolerance_ms, event.lag_ms)
                continue
            begin_ms = event.at_ms - event.lag_ms - LONG_LAG_MS
            self.intervals[event.node].append(Interval(begin_ms, event.at_ms))

    def total_ms(self, node: str, begin_ms: float, end_ms: float) -> float:
        """Returns the total length of the long lags of node and simulation that overlap the interval."""
        intervals = [*self.intervals.get(SIMULATION, ()), *self.intervals.get(node, ())]
        return sum(
            (
                interval.end_ms - interval.begin_ms
                for interval in intervals
                if interval.overlaps(begin_ms, end_ms)
            ),
            0.0,
        )

    def has_long_lag(self, node: str, begin_ms: float, end_ms: float) -> bool:
        """Whether a long lag of the node or of the simulation overlaps the interval."""
        return self.total_ms(node, begin_ms, end_ms) > 0.0
