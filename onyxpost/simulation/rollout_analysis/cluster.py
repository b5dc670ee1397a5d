"""Request counters of an emulated cluster, drawn from a seed.

Single requests are not emulated: for each node and interval between two snapshots, the numbers of requests,
failures and latencies of candidate and control are drawn from their distributions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

from onyxpost.rollout.metrics.aggregation import CounterIncrement, Stratum
from onyxpost.rollout.metrics.protocol import RequestCounters
from onyxpost.simulation.rollout_analysis.latencies import bucket_probabilities, bucket_upper_bounds

if TYPE_CHECKING:
    from onyxpost.simulation.rollout_analysis.scenario import Scenario

FRONTEND = "web"
ZONES = ("north", "south")
PLAN_SHARES = {"basic": 0.8, "gold": 0.2}

OUTAGE_BEGINS_S = 60.0
OUTAGE_ENDS_S = 180.0
OUTAGE_FAILURE_RATE = 0.6
NODES_PER_AFFECTED_NODE = 4
"""One of every so many nodes is affected by the outage."""


class EmulatedCluster:
    """Draws the counters of all nodes interval by interval; equal seeds give equal counters."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.time_s = 0.0
        self._rng = np.random.default_rng(seed)
        self._candidate_bias = 1.0 + scenario.customer_bias * float(self._rng.standard_normal())

    def next_increments(self) -> list[CounterIncrement]:
        """Returns the counters of all nodes for the next interval, and advances the time by this interval."""
        scenario = self.scenario
        has_outage = scenario.outage and OUTAGE_BEGINS_S <= self.time_s < OUTAGE_ENDS_S
        self.time_s += scenario.snapshot_interval_s
        cluster_factor = self._burst_factor(4.0)
        increments = []
        for node in range(scenario.nodes):
            traffic_factor = self._burst_factor(2.0)
            failure_rate = scenario.failure_rate * cluster_factor * self._burst_factor(1.0)
            if has_outage and node % NODES_PER_AFFECTED_NODE == 0:
                failure_rate = OUTAGE_FAILURE_RATE
            for plan, plan_share in PLAN_SHARES.items():
                stratum = Stratum(FRONTEND, plan, ZONES[node % len(ZONES)])
                mean_requests = (
                    scenario.requests_per_s * scenario.snapshot_interval_s * plan_share * traffic_factor
                )
                increments.append(self._draw_increment(f"n{node}", stratum, mean_requests, failure_rate))
        return increments

    def _burst_factor(self, shape: float) -> float:
        """Draws a gamma-distributed factor with mean 1 and variance 1 / `shape`; 1 without bursty traffic."""
        if not self.scenario.bursty:
            return 1.0
        return float(self._rng.gamma(shape, 1.0 / shape))

    def _draw_increment(
        self, node: str, stratum: Stratum, mean_requests: float, failure_rate: float
    ) -> CounterIncrement:
        scenario = self.scenario
        requests = int(self._rng.poisson(mean_requests))
        candidate_requests = int(self._rng.binomial(requests, scenario.candidate_share))
        control_requests = requests - candidate_requests if scenario.has_control else 0
        candidate_rate = failure_rate * self._candidate_bias
        latency_factor = 1.0
        if not scenario.affected or scenario.affected in (stratum.plan, stratum.zone):
            candidate_rate += scenario.added_failure_rate
            latency_factor = scenario.latency_factor
        candidate = self._draw_counters(candidate_requests, candidate_rate, latency_factor)
        control = self._draw_counters(control_requests, failure_rate, 1.0)
        return CounterIncrement(node, stratum, candidate, control)

    def _draw_counters(self, requests: int, failure_rate: float, latency_factor: float) -> RequestCounters:
        cluster_size = self.scenario.cluster_size
        failures = 0
        if requests:
            clusters = int(self._rng.binomial(requests, min(1.0, failure_rate / cluster_size)))
            failures = min(requests, cluster_size * clusters)
        succeeded = requests - failures
        counts = self._rng.multinomial(succeeded, bucket_probabilities(latency_factor))
        upper_bounds_ms = bucket_upper_bounds()
        latencies = {int(upper_bounds_ms[index]): int(counts[index]) for index in np.flatnonzero(counts)}
        return RequestCounters(requests=requests, succeeded=succeeded, aborted=failures, latencies=latencies)
