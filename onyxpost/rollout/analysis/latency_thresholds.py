"""Learns, for each stratum, which latencies count as slow, from control's earlier requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from onyxpost.rollout.analysis.measures import LatencyThresholds
from onyxpost.rollout.metrics.latency import quantile

if TYPE_CHECKING:
    from collections.abc import Mapping

    from onyxpost.rollout.metrics.protocol import RequestCounters

MIN_REQUESTS = 200
"""Requests of control that set a stratum's first thresholds."""

SLOW_QUANTILE = 0.8
TAIL_QUANTILE = 0.97


@dataclass(slots=True)
class _ControlLatencies:
    requests: int = 0
    requests_at_update: int = MIN_REQUESTS
    buckets: dict[int, int] = field(default_factory=dict)

    def add(self, counters: RequestCounters) -> None:
        self.requests += counters.succeeded
        for upper_bound_ms, count in counters.latencies.items():
            self.buckets[upper_bound_ms] = self.buckets.get(upper_bound_ms, 0) + count

    def has_doubled(self) -> bool:
        return self.requests >= 2 * self.requests_at_update

    def start_next_doubling(self) -> None:
        self.requests_at_update = self.requests

    def thresholds(self) -> LatencyThresholds:
        return LatencyThresholds(quantile(self.buckets, SLOW_QUANTILE), quantile(self.buckets, TAIL_QUANTILE))


class LatencyThresholdEstimator:
    """Latency thresholds by stratum name.

    They are set once control has had enough requests, and again at the end of a period whenever its
    requests have doubled. A cell is always measured by thresholds that were set before it.
    """

    def __init__(self, initial: Mapping[str, LatencyThresholds]) -> None:
        self._thresholds = dict(initial)
        self._latencies: dict[str, _ControlLatencies] = {}

    def thresholds(self, stratum_name: str) -> LatencyThresholds:
        """Returns the thresholds in force for a stratum."""
        return self._thresholds.get(stratum_name, LatencyThresholds())

    def all_thresholds(self) -> dict[str, LatencyThresholds]:
        """Returns the thresholds of all strata that have some."""
        return dict(self._thresholds)

    def observe_control(self, stratum_name: str, control: RequestCounters) -> None:
        """Adds control's counters of a cell that was measured before."""
        latencies = self._latencies.setdefault(stratum_name, _ControlLatencies())
        latencies.add(control)
        if stratum_name not in self._thresholds and latencies.requests >= MIN_REQUESTS:
            self._update(stratum_name, latencies)

    def on_period_end(self) -> None:
        """Renews the thresholds of strata whose requests have doubled since."""
        for stratum_name, latencies in self._latencies.items():
            if latencies.has_doubled():
                latencies.start_next_doubling()
                self._update(stratum_name, latencies)

    def _update(self, stratum_name: str, latencies: _ControlLatencies) -> None:
        if latencies.buckets:
            self._thresholds[stratum_name] = latencies.thresholds()
