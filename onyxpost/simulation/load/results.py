"""Outcomes and latency histograms of the requests of a load run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from onyxpost.core.units import US_PER_MS
from onyxpost.simulation.http_client import PASSED, REJECTED

if TYPE_CHECKING:
    from onyxpost.simulation.load.options import LoadOptions

MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this value
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9, 100)
ALL_OUTCOMES = "all"
MEASURED_OUTCOMES = (PASSED, REJECTED)  # outcomes that have their own latency histograms


class LoadResults:
    """Counters and latency histograms of the requests.

    Attributes:
        outcomes: Number of requests by outcome: passed, denied, aborted, cut (no complete answer), timed_out.
        outcomes_by_second: The same for each second of the run, by the due time of a request.
        latencies_us: Latency histograms by outcome; latencies are measured from the due time.
        late_requests: Number of requests that the generator itself sent late.
        connections_opened: Number of connections opened.
    """

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.outcomes_by_second: list[Counter[str]] = []
        self.latencies_us = {
            outcome: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            for outcome in (*MEASURED_OUTCOMES, ALL_OUTCOMES)
        }
        self.late_requests = 0
        self.connections_opened = 0

    def add(self, due_seconds: float, latency_ms: float, outcome: str) -> None:
        """Records a request; `due_seconds` is its due time, relative to the start of the run."""
        self.outcomes[outcome] += 1
        latency_us = min(MAX_LATENCY_US, max(1, round(latency_ms * US_PER_MS)))
        for measured in (ALL_OUTCOMES, outcome):
            if measured in self.latencies_us:
                self.latencies_us[measured].record_value(latency_us)
        while len(self.outcomes_by_second) <= int(due_seconds):
            self.outcomes_by_second.append(Counter())
        self.outcomes_by_second[int(due_seconds)][outcome] += 1

    def percentiles_ms(self) -> dict[str, dict[str, float]]:
        """Returns the latency percentiles in ms, by outcome and then by name, as in `p99`."""
        return {
            outcome: {
                f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
                for percentile in PERCENTILES
            }
            for outcome, histogram in self.latencies_us.items()
            if histogram.get_total_count()
        }

    def to_lines(self, options: LoadOptions) -> list[dict[str, Any]]:
        """Returns the lines of a result file: the options, the outcomes of each second, and the totals."""
        seconds = [
            {"kind": "second", "t": second, **dict(sorted(outcomes.items()))}
            for second, outcomes in enumerate(self.outcomes_by_second)
        ]
        total: dict[str, Any] = {"kind": "total", **dict(sorted(self.outcomes.items()))}
        for outcome, percentiles in self.percentiles_ms().items():
            total[f"{outcome}_ms"] = percentiles
        total |= {"late_sent": self.late_requests, "opened": self.connections_opened}
        return [{"kind": "load", **options._asdict()}, *seconds, total]

    def to_text(self) -> str:
        """Returns the totals as readable text."""
        lines = ["  ".join(f"{outcome} {count}" for outcome, count in sorted(self.outcomes.items()))]
        for outcome, percentiles in self.percentiles_ms().items():
            figures = "  ".join(f"{name} {latency_ms:.2f}" for name, latency_ms in percentiles.items())
            lines.append(f"{outcome:8} ms since the due time: {figures}")
        lines.append(
            f"connections opened {self.connections_opened};"
            f" requests sent late by the generator {self.late_requests}"
        )
        return "\n".join(lines)
