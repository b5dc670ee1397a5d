"""What reaches a server while it is cold, from all nodes together. Pure; times in ms."""

from __future__ import annotations

from collections import deque
from math import sqrt

from onyxpost.core.types import SlowStartPolicy

TOLD_SHARE = 2.0 / 3.0  # of the calls: only over it are the nodes to blame


def most_calls(n: float) -> float:
    """Calls in a window in which the settings allow `n`; what chance adds is borne."""
    return n + 2.0 * sqrt(n) + 2.0


class WarmingServer:
    """One server's life while it is cold."""

    def __init__(self, started: float, capacity: float, call: float) -> None:
        """`capacity`: ms of work that it does in one ms when warm; `call`: ms of work of a usual call."""
        self.started, self.capacity, self.call = started, capacity, call
        self.came: deque[tuple[float, float]] = deque()  # when, work
        self.sum = 0.0
        self.told = self.told_calls = False  # that it was pushed over
        self.calls: deque[tuple[float, bool]] = deque()  # when, from a node told of the start

    def able(self, rule: SlowStartPolicy, at: float) -> float:
        """ms of work that the settings allow it in the window that ends at `at`."""
        share = max(rule.initial_fraction, (at - self.started) / rule.warmup_ms)
        return self.capacity * share * rule.overload_window_ms * rule.overload_multiple

    def work_came(self, rule: SlowStartPolicy, at: float, work: float) -> None:
        self.came.append((at, work))
        self.sum += work
        while self.came and self.came[0][0] <= at - rule.overload_window_ms:
            self.sum -= self.came.popleft()[1]

    def call_came(self, rule: SlowStartPolicy, at: float, told: bool) -> str:
        """What is broken by it, if anything is; said once."""
        calls = self.calls
        calls.append((at, told))
        while calls[0][0] <= at - rule.overload_window_ms:
            calls.popleft()
        n, by_told = self.able(rule, at) / self.call, sum(told for _, told in calls)
        if self.told_calls or len(calls) <= most_calls(n) or by_told <= TOLD_SHARE * len(calls):
            return ""
        self.told_calls = True
        return f"{len(calls)} calls where {n:.1f} are allowed; {by_told} from nodes told of its start"
