"""Exact counts of the units that a cluster sends, compared with each customer's quota and hard limit.

Times are in ms since the start of the load.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from onyxpost.simulation.discrete_event.exact_quota import ExactQuota
from onyxpost.simulation.invariants import HardLimitBucket
from onyxpost.simulation.planner_cluster.options import HARD_LIMIT_FACTOR, MAX_REQUEST_UNITS

if TYPE_CHECKING:
    from onyxpost.simulation.planner_cluster.options import ClusterOptions

TOLERANCE_SHARE = 0.1  # tolerance of the hard limit, as a share of its burst, but at least one request


class UsageCounter:
    """Counts requests when clients send them, when they reach an app server and when they are answered."""

    def __init__(self, options: ClusterOptions) -> None:
        self.options = options
        customers = range(options.customers)
        self.quotas = {customer: self._new_quota() for customer in customers}
        self.ideal_quotas = {customer: self._new_quota() for customer in customers}
        self.hard_limits: dict[int, HardLimitBucket] = {}
        self.outcomes: Counter[str] = Counter()  # number of requests by outcome
        self.kills = 0
        self.violations: list[str] = []
        self.units_sent = 0
        self.units_beyond_quota = 0
        self.ideal_units = 0
        self.rejected_within_quota = 0

    def _new_quota(self) -> ExactQuota:
        return ExactQuota(self.options.quota_rate, self.options.quota_burst)

    def count_offered(self, now_ms: float, customer: int, units: int) -> None:
        """Counts the units of a client's request, if one counter for all nodes would admit them."""
        if self.ideal_quotas[customer].refill(now_ms) >= units:
            self.ideal_quotas[customer].consume(now_ms, units)
            self.ideal_units += units

    def count_sent(self, now_ms: float, customer: int, units: int) -> None:
        """Counts a request that reached an app server, and checks the hard limit of its customer."""
        self.units_sent += units
        self.units_beyond_quota += round(self.quotas[customer].consume(now_ms, units))
        bucket = self.hard_limits.get(customer)
        if bucket is None:
            bucket = self._new_hard_limit(now_ms)
            self.hard_limits[customer] = bucket
        if not bucket.consume(now_ms, units):
            self.violations.append(f"{now_ms:.0f} ms: customer {customer} has {bucket.level:.1f} units left")

    def _new_hard_limit(self, now_ms: float) -> HardLimitBucket:
        rate = HARD_LIMIT_FACTOR * self.options.quota_rate
        burst = HARD_LIMIT_FACTOR * self.options.quota_burst
        return HardLimitBucket(now_ms, rate, burst, max(TOLERANCE_SHARE * burst, float(MAX_REQUEST_UNITS)))

    def count_outcome(self, now_ms: float, customer: int, units: int, outcome: str) -> None:
        """Counts the outcome of a request: passed, denied, aborted, or lost if there was no answer."""
        self.outcomes[outcome] += 1
        if outcome == "denied" and self.quotas[customer].refill(now_ms) >= units:
            self.rejected_within_quota += 1

    def metrics(self) -> dict[str, Any]:
        """Returns the metrics of the run for printing; their names are those of earlier versions."""
        requests = max(1, sum(self.outcomes.values()))
        return {
            "mode": "gossip" if self.options.use_gossip else "planners",
            "seed": self.options.seed,
            "asked": requests,
            **dict(sorted(self.outcomes.items())),
            "kills": self.kills,
            "units_of_ideal": round(self.units_sent / max(1, self.ideal_units), 4),
            "beyond_quota": round(self.units_beyond_quota / max(1, self.units_sent), 4),
            "denied_with_room": round(self.rejected_within_quota / requests, 4),
            "ceiling_passed": len(self.violations),
            "ceiling_lowest": round(
                min((bucket.lowest for bucket in self.hard_limits.values()), default=0.0), 1
            ),
        }
