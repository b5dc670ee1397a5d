"""Reduces the counters of a stratum to requests and failures by measure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.rollout.analysis.paired_counts import PairedCounts
from onyxpost.rollout.analysis.thresholds import Measure
from onyxpost.rollout.metrics.latency import count_above

if TYPE_CHECKING:
    from collections.abc import Mapping

    from onyxpost.rollout.metrics.protocol import RequestCounters


@dataclass(frozen=True, slots=True)
class LatencyThresholds:
    """The latencies above which a request is slow or in the tail; 0 while unknown."""

    slow_ms: int = 0
    tail_ms: int = 0


class _Counts(NamedTuple):
    requests: int
    failures: int


def paired_counts(
    candidate: RequestCounters, control: RequestCounters, latency: LatencyThresholds
) -> Mapping[Measure, PairedCounts]:
    """Returns both sides' requests and failures by measure.

    The latency thresholds must be set from earlier requests. Requests rejected by quota or by load shedding
    are excluded, because routing rules do not affect them; only `LOAD_SHEDDING` includes the latter.
    """
    candidate_counts = _count_failures(candidate, latency)
    control_counts = _count_failures(control, latency)
    return {
        measure: PairedCounts(*counts, *control_counts[measure])
        for measure, counts in candidate_counts.items()
    }


def _count_failures(counters: RequestCounters, latency: LatencyThresholds) -> dict[Measure, _Counts]:
    finished = counters.finished_under_rules()
    failed = counters.aborted + counters.rejected_by_capacity + counters.late
    shed = counters.rejected_by_load_shedding
    counts = {
        Measure.FAILED_REQUESTS: _Counts(finished, failed),
        Measure.FAILED_ATTEMPTS: _Counts(finished, counters.failed_attempts),
        Measure.ABORTED: _Counts(finished, counters.aborted),
        Measure.LOAD_SHEDDING: _Counts(finished + shed, shed),
    }
    for measure, threshold_ms in ((Measure.SLOW, latency.slow_ms), (Measure.TAIL, latency.tail_ms)):
        if threshold_ms:
            counts[measure] = _Counts(counters.succeeded, count_above(counters.latencies, threshold_ms))
    return counts
