"""The limits of the analysis, and the shares of its tests in the false halt probability."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class Measure(StrEnum):
    """A rate that is compared between candidate and control; the value appears in texts for the operator.

    A request counts as failed if it was aborted, rejected for lack of capacity, or late. `SLOW` and `TAIL`
    count requests above the latencies that 20 % and 3 % of control's earlier requests exceeded.
    """

    FAILED_REQUESTS = "failed requests"
    FAILED_ATTEMPTS = "failed attempts"
    ABORTED = "aborted requests"
    SLOW = "slow requests"
    TAIL = "tail latency"
    LOAD_SHEDDING = "load shedding"


MEASURE_WEIGHTS = {
    Measure.FAILED_REQUESTS: 0.40,
    Measure.FAILED_ATTEMPTS: 0.10,
    Measure.ABORTED: 0.10,
    Measure.SLOW: 0.25,
    Measure.TAIL: 0.10,
    Measure.LOAD_SHEDDING: 0.05,
}
"""Each measure's share of the false halt probability."""


class LevelLimits(NamedTuple):
    """A level's share of the false halt probability, split equally among at most `max_groups` groups."""

    weight: float
    max_groups: int


class Level(Enum):
    """How requests are grouped: all together; by zone, by plan and by frontend; or by stratum."""

    ALL = auto()
    DIMENSION = auto()
    STRATUM = auto()


LEVEL_LIMITS = {
    Level.ALL: LevelLimits(weight=0.4, max_groups=1),
    Level.DIMENSION: LevelLimits(weight=0.3, max_groups=64),
    Level.STRATUM: LevelLimits(weight=0.3, max_groups=130),
}


@dataclass(frozen=True, slots=True)
class Thresholds:
    """The limits that the operator sets. Rates are fractions of requests between 0 and 1."""

    max_false_halt_probability: float = 0.005
    """Maximum probability that the e-values halt a rollout without a regression, over all stages together.

    Halts by `failure_rate_limit` are not included.
    """
    stages: int = 4
    """Number of stages, which share the false halt probability equally."""
    max_false_advance_probability: float = 0.05
    """Maximum probability that a stage advances although the candidate is worse by a non-inferiority margin.

    The rates that are compared are those over all requests.
    """

    relative_tolerance: float = 0.05
    """Excess of the candidate's failure rate over control's that is tolerated, relative to control's rate."""
    absolute_tolerance: float = 0.0005
    """Excess of the candidate's failure rate that is tolerated in addition to the relative tolerance."""
    failure_margin: float = 0.005
    """Limit on the excess of the candidate's rate of failed requests over control's.

    A stage with control advances only once the excess is shown to be less than this.
    """
    slow_margin: float = 0.05
    """The same limit for the rate of slow requests."""

    min_cluster_size: float = 2.0
    """Minimum size of the clusters in which failures are assumed to come."""

    outage_failure_rate: float = 0.2
    """A cell in which control's failure rate is at least this is an outage and cannot raise the e-value.

    A stage also holds while either side's recent failure rate reaches this rate.
    """
    max_outage_fraction: float = 0.05
    """Fraction of recent requests from cells with an outage above which a stage holds."""

    failure_rate_limit: float = 0.3
    """A stage halts if the candidate's recent failure rate reaches this and control's is below half of it."""
    failure_rate_limit_min_requests: int = 500
    """Recent requests that each side must have had before `failure_rate_limit` applies."""

    min_requests: int = 2000
    """Requests that each side must have had before a stage advances."""
    min_duration_ms: float = 120_000.0
    """Minimum duration of a stage before it advances."""
    min_active_fraction: float = 0.8
    """Fraction of the nodes that must be active before a stage advances."""

    baseline_relative_drift: float = 0.25
    """Drift of failure rates that is allowed in the last stage, relative to the baseline's rates."""
    baseline_absolute_drift: float = 0.003
    """Drift of failure rates that is allowed in addition to the relative drift."""

    @property
    def non_inferiority_margins(self) -> Mapping[Measure, float]:
        """The margins of the measures in which a stage with control must show non-inferiority to advance."""
        return {Measure.FAILED_REQUESTS: self.failure_margin, Measure.SLOW: self.slow_margin}
