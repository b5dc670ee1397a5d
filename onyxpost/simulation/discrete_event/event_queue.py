"""The event queue of the discrete-event simulation, whose clock advances from one event to the next."""

from __future__ import annotations

import heapq
from collections.abc import Callable

ScheduledCall = tuple[float, int, Callable[..., None], tuple[object, ...]]


class EventQueue:
    """Calls that are scheduled at points of simulated time.

    Calls that are due at the same time are made in the order in which they were scheduled.

    Attributes:
        now_ms: simulated time since the start of the run.
        processed: number of calls made so far.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.processed = 0
        self._scheduled = 0
        self._heap: list[ScheduledCall] = []

    def call_at(self, time_ms: float, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call at a time; a time in the past is replaced by the current time."""
        self._scheduled += 1
        heapq.heappush(self._heap, (max(time_ms, self.now_ms), self._scheduled, call, arguments))

    def call_after(self, delay_ms: float, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call `delay_ms` after the current time."""
        self.call_at(self.now_ms + delay_ms, call, *arguments)

    def run_until(self, end_ms: float) -> None:
        """Makes all calls that are due up to and including `end_ms`."""
        heap = self._heap
        while heap and heap[0][0] <= end_ms:
            self.now_ms, _, call, arguments = heapq.heappop(heap)
            self.processed += 1
            call(*arguments)
        self.now_ms = end_ms
