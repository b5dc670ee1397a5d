"""Sums over a sliding window of time. No decisions here."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

CountsT = TypeVar("CountsT", bound=tuple[float, ...])


class SlidingWindowCounter(Generic[CountsT]):
    """Sums of several named values over a window of the last `slots` intervals.

    Args:
        slot_ms: length of an interval.
        slots: number of intervals, the current one included.
        counts: the `NamedTuple` class of the values, with a default of 0 for each.
    """

    def __init__(self, slot_ms: float, slots: int, counts: Callable[..., CountsT]) -> None:
        self._slot_ms = slot_ms
        self._slots = slots
        self._counts = counts
        self._values = len(counts())
        self._epoch = 0
        self._sums = [0.0] * self._values
        self._rows = [[0.0] * self._values for _ in range(slots)]

    def advance(self, now: float) -> None:
        """Drops the intervals that have left the window."""
        epoch = int(now // self._slot_ms)
        for passed in range(max(self._epoch, epoch - self._slots) + 1, epoch + 1):
            dropped = self._rows[passed % self._slots]
            self._rows[passed % self._slots] = [0.0] * self._values
            self._sums = [total - old for total, old in zip(self._sums, dropped, strict=True)]
        self._epoch = epoch

    def add(self, now: float, counts: CountsT) -> None:
        """Adds `counts` to the values of the current interval."""
        self.advance(now)
        row = self._rows[self._epoch % self._slots]
        for index, amount in enumerate(counts):
            row[index] += amount
            self._sums[index] += amount

    def totals(self, now: float) -> CountsT:
        """Returns the sums over the window that ends with the current interval."""
        self.advance(now)
        return self._counts(*self._sums)

    def intervals(self) -> list[CountsT]:
        """Returns the sums of each interval as of the last change, in no order of time."""
        return [self._counts(*row) for row in self._rows]
