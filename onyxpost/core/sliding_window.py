"""Sums over a sliding window of time."""

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
        counts_type: the `NamedTuple` class of the values, with a default of 0 for each.
    """

    def __init__(self, slot_ms: float, slots: int, counts_type: Callable[..., CountsT]) -> None:
        self._slot_ms = slot_ms
        self._slots = slots
        self._counts_type = counts_type
        self._value_count = len(counts_type())
        self._epoch = 0
        self._totals = [0.0] * self._value_count
        self._slot_sums = [[0.0] * self._value_count for _ in range(slots)]

    def advance(self, now: float) -> None:
        """Drops the intervals that have left the window."""
        epoch = int(now // self._slot_ms)
        for new_epoch in range(max(self._epoch, epoch - self._slots) + 1, epoch + 1):
            expired_sums = self._slot_sums[new_epoch % self._slots]
            self._slot_sums[new_epoch % self._slots] = [0.0] * self._value_count
            self._totals = [
                total - expired for total, expired in zip(self._totals, expired_sums, strict=True)
            ]
        self._epoch = epoch

    def add(self, now: float, counts: CountsT) -> None:
        """Adds `counts` to the values of the current interval."""
        self.advance(now)
        slot_sums = self._slot_sums[self._epoch % self._slots]
        for index, amount in enumerate(counts):
            slot_sums[index] += amount
            self._totals[index] += amount

    def totals(self, now: float) -> CountsT:
        """Returns the sums over the window that ends with the current interval."""
        self.advance(now)
        return self._counts_type(*self._totals)

    def intervals(self) -> list[CountsT]:
        """Returns the sums of each interval as of the last change, in no order of time."""
        return [self._counts_type(*slot_sums) for slot_sums in self._slot_sums]
