"""Estimates each stratum's latency thresholds from control's earlier requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from onyxpost.rollout.analysis.measures import LatencyThresholds
from onyxpost.rollout.metrics.latency import quantile

if TYPE_CHECKING:
    from collections.abc import Mapping

    from onyxpost.rollout.metrics.protocol import RequestCounters

MIN_REQUESTS = 200
"""Number of control's succeeded requests after which a stratum's first thresholds are set."""

SLOW_QUANTILE = 0.8
"""Quantile of control's latencies above which a request is slow."""

TAIL_QUANTILE = 0.97
"""Quantile of control's latencies above which a request is in the tail."""


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

    def record_update(self) -> None:
        self.requests_at_update = self.requests

    def thresholds(self) -> LatencyThresholds:
        return LatencyThresholds(quantile(self.buckets, SLOW_QUANTILE), quantile(self.buckets, TAIL_QUANTILE))


class LatencyThresholdEstimator:
    """Latency thresholds by stratum name.

    Thresholds are set once control has had `MIN_REQUESTS` succeeded requests. At the end of a period they are
    updated if the number of control's succeeded requests has doubled since the last such update; the first is
    due at twice `MIN_REQUESTS`. A cell is always measured by thresholds that were set before it.
    """

    def __init__(self, initial: Mapping[str, LatencyThresholds]) -> None:
        self._thresholds = dict(initial)
        self._latencies: dict[str, _ControlLatencies] = {}

    def thresholds(self, stratum_name: str) -> LatencyThresholds:
        """Returns the current thresholds of a stratum; 0 where none are set."""
        return self._thresholds.get(stratum_name, LatencyThresholds())

    def all_thresholds(self) -> dict[str, LatencyThresholds]:
        """Returns the thresholds of all strata that have thresholds, by stratum name."""
        return dict(self._thresholds)

    def observe_control(self, stratum_name: str, control: RequestCounters) -> None:
        """Adds control's counters of a cell, which must already have been measured by earlier thresholds."""
        latencies = self._latencies.setdefault(stratum_name, _ControlLatencies())
        latencies.add(control)
        if stratum_name not in self._thresholds and latencies.requests >= MIN_REQUESTS:
            self._update_thresholds(stratum_name, latencies)

    def on_period_end(self) -> None:
        """Updates the thresholds of strata in which control's succeeded requests have doubled.

        They have doubled since the last update by this method, or from `MIN_REQUESTS` if there was none.
        """
        for stratum_name, latencies in self._latencies.items():
            if latencies.has_doubled():
                latencies.record_update()
                self._update_thresholds(stratum_name, latencies)

    def _update_thresholds(self, stratum_name: str, latencies: _ControlLatencies) -> None:
        if latencies.buckets:
            self._thresholds[stratum_name] = latencies.thresholds()
