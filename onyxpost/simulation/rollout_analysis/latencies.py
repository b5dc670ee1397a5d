"""Log-normal latency distribution in the histogram buckets of `onyxpost.rollout.metrics.latency`."""

from __future__ import annotations

from functools import cache
from math import erf
from typing import TYPE_CHECKING

import numpy as np

from onyxpost.rollout.metrics.latency import bucket_upper_bound

if TYPE_CHECKING:
    from numpy.typing import NDArray

MEDIAN_MS = 80.0
SIGMA = 0.6  # standard deviation of the logarithm of the latency
MAX_LATENCY_MS = 4000
"""The last bucket also holds all longer latencies."""


@cache
def bucket_upper_bounds() -> NDArray[np.float64]:
    """Returns the upper bounds of all buckets below `MAX_LATENCY_MS`, in ms and ascending."""
    return np.array(sorted({float(bucket_upper_bound(ms)) for ms in range(1, MAX_LATENCY_MS)}))


@cache
def bucket_probabilities(latency_factor: float) -> NDArray[np.float64]:
    """Returns the probability of each bucket, with all latencies multiplied by `latency_factor`."""
    edges: NDArray[np.float64] = np.append(bucket_upper_bounds()[:-1], np.inf)
    quantiles = (np.log(edges + 1.0) - np.log(MEDIAN_MS * latency_factor)) / SIGMA
    cumulative = np.array([0.5 * (1.0 + erf(quantile / np.sqrt(2.0))) for quantile in quantiles])
    probabilities: NDArray[np.float64] = np.diff(cumulative, prepend=0.0)
    return probabilities
