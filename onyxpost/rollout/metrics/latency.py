"""Latency buckets of an HDR histogram with one significant digit, identified by their upper bounds in ms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_LATENCY_MS = 120_000
"""Longer latencies are counted as this value."""

_SIGNIFICANT_DIGITS = 1
_LAYOUT = HdrHistogram(1, MAX_LATENCY_MS, _SIGNIFICANT_DIGITS)
BUCKET_COUNT: int = _LAYOUT.counts_len


def bucket_upper_bound(latency_ms: float) -> int:
    """Returns the upper bound, in ms, of the bucket that holds the latency."""
    return int(_LAYOUT.get_highest_equivalent_value(min(MAX_LATENCY_MS, max(1, int(latency_ms)))))


def is_bucket_upper_bound(value_ms: int) -> bool:
    """Returns whether the value is the upper bound of one of the buckets."""
    if not 1 <= value_ms <= bucket_upper_bound(MAX_LATENCY_MS):
        return False
    return bool(_LAYOUT.get_highest_equivalent_value(value_ms) == value_ms)


def quantile(buckets: Mapping[int, int], probability: float) -> int:
    """Returns the upper bound, in ms, of the bucket that holds the quantile; 0 if the buckets are empty."""
    if not buckets:
        return 0
    histogram = HdrHistogram(1, 2 * MAX_LATENCY_MS, _SIGNIFICANT_DIGITS)
    for upper_bound_ms, count in buckets.items():
        histogram.record_value(upper_bound_ms, count)
    return bucket_upper_bound(histogram.get_value_at_percentile(100.0 * probability))


def count_above(buckets: Mapping[int, int], threshold_ms: int) -> int:
    """Returns the number of latencies in buckets whose upper bound exceeds the threshold."""
    return sum(count for upper_bound_ms, count in buckets.items() if upper_bound_ms > threshold_ms)
