"""The baseline that replaces control in the last stage, in which the candidate serves all requests."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.rollout.analysis.strata import ALL_REQUESTS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from onyxpost.rollout.analysis.measures import LatencyThresholds
    from onyxpost.rollout.analysis.paired_counts import PairedCounts
    from onyxpost.rollout.analysis.thresholds import Measure, Thresholds

ADDED_STANDARD_ERRORS = 3.0
"""Standard errors added to control's measured failure rate."""


class GroupMeasure(NamedTuple):
    """A measure in one group of strata."""

    group_name: str
    measure: Measure


@dataclass(frozen=True, slots=True)
class Baseline:
    """Upper bounds on control's last failure rates, and its last latency thresholds by stratum name."""

    latency_thresholds: Mapping[str, LatencyThresholds]
    max_failure_rates: Mapping[GroupMeasure, float]

    def max_failure_rate(self, group_name: str, measure: Measure) -> float:
        """Returns the bound for a group; if it has none, the bound over all requests.

        Groups of the level `DIMENSION`, and strata that were not tested against control, have none.
        """
        over_all_requests = self.max_failure_rates.get(GroupMeasure(ALL_REQUESTS.name, measure), 1.0)
        return self.max_failure_rates.get(GroupMeasure(group_name, measure), over_all_requests)


def max_baseline_rate(counts: PairedCounts, cluster_size: float, thresholds: Thresholds) -> float:
    """Returns control's failure rate plus `ADDED_STANDARD_ERRORS` standard errors and the allowed drift.

    The standard error takes failures as clustered.
    """
    requests = max(1.0, counts.control_requests)
    rate = counts.control_rate
    standard_errors = ADDED_STANDARD_ERRORS * math.sqrt(cluster_size * (rate + 1.0 / requests) / requests)
    rate_with_drift = (rate + standard_errors) * (1.0 + thresholds.baseline_relative_drift)
    return min(1.0, rate_with_drift + thresholds.baseline_absolute_drift)
