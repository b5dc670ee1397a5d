"""The evidence of one stage: one test for each group of strata and each measure. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.rollout.analysis.baseline import Baseline, GroupMeasure, max_baseline_rate
from onyxpost.rollout.analysis.latency_thresholds import LatencyThresholdEstimator
from onyxpost.rollout.analysis.measures import paired_counts
from onyxpost.rollout.analysis.overdispersion import Overdispersion
from onyxpost.rollout.analysis.paired_counts import PairedCounts
from onyxpost.rollout.analysis.sequential_test import (
    EProcess,
    LogGains,
    log_sum_exp,
    non_inferiority_log_gains,
    regression_log_gains,
)
from onyxpost.rollout.analysis.strata import ALL_REQUESTS, Group, StratumRegistry, groups_of, stratum_name
from onyxpost.rollout.analysis.thresholds import LEVEL_LIMITS, MEASURE_WEIGHTS, Level, Measure, Thresholds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.rollout.metrics.aggregation import CounterIncrement, Stratum

RECENT_DECAY = 0.5
"""Factor by which the weight of recent counts is multiplied at the end of each period."""

MIN_UNTESTED_WEIGHT = 1e-12
"""Lower bound on the weight of groups not yet seen, which keeps its logarithm defined."""


class RegressionTest(NamedTuple):
    """Identifies the test for a regression of one measure in one group."""

    group: Group
    measure: Measure

    @property
    def weight(self) -> float:
        """The test's share of the false halt probability."""
        limits = LEVEL_LIMITS[self.group.level]
        return MEASURE_WEIGHTS[self.measure] * limits.weight / limits.max_groups

    @property
    def group_measure(self) -> GroupMeasure:
        """The key of the test's counts and of its bound in a baseline."""
        return GroupMeasure(self.group.name, self.measure)


@dataclass(slots=True)
class _StratumUpdate:
    """Counts and log gains of one stratum and measure, summed over the cells of one update."""

    log_gains: LogGains
    counts: PairedCounts

    def add(self, log_gains: LogGains, counts: PairedCounts) -> None:
        """Adds the gains and counts of one more cell."""
        self.log_gains = [
            before + log_gain for before, log_gain in zip(self.log_gains, log_gains, strict=True)
        ]
        self.counts += counts


class Evidence:
    """The evidence of one stage; each stage begins with a new instance.

    With a baseline there is no control, and the candidate is tested against control's last failure rates.
    """

    def __init__(self, thresholds: Thresholds, baseline: Baseline | None = None) -> None:
        self.thresholds = thresholds
        self.baseline = baseline
        self.regression_tests: dict[RegressionTest, EProcess] = {}
        self.non_inferiority_tests: dict[Measure, EProcess] = {}
        self.recent_failures = PairedCounts()
        self.recent_outage_requests = 0.0
        self._totals: dict[GroupMeasure, PairedCounts] = {}
        self._latency = LatencyThresholdEstimator(baseline.latency_thresholds if baseline else {})
        self._overdispersion: dict[Measure, Overdispersion] = {}
        self._registry = StratumRegistry()

    def update(self, increments: Iterable[CounterIncrement]) -> None:
        """Updates the tests with the counts that the nodes added since their last snapshots."""
        updates: dict[tuple[Stratum, Measure], _StratumUpdate] = {}
        for increment in increments:
            stratum = self._registry.resolve(increment.stratum)
            latency = self._latency.thresholds(stratum_name(stratum))
            cells = paired_counts(increment.candidate, increment.control, latency)
            is_outage = self._observe_outage(cells[Measure.FAILED_REQUESTS])
            for measure, counts in cells.items():
                if counts.candidate_requests and (counts.control_requests or self.baseline):
                    log_gains = self._test_cell(stratum, measure, counts, is_outage=is_outage)
                    _accumulate(updates, stratum, measure, log_gains, counts)
            if self.baseline is None:
                self._latency.observe_control(stratum_name(stratum), increment.control)
        for (stratum, measure), update in updates.items():
            self._update_groups(stratum, measure, update)

    def on_period_end(self) -> None:
        """Reduces the weight of recent counts and releases a part of the reserve of each regression test.

        Also updates the latency thresholds. Must be called once per minute of the stage, at times that do not
        depend on results.
        """
        for test in self.regression_tests.values():
            test.release_reserve()
        self.recent_outage_requests *= RECENT_DECAY
        self.recent_failures = self.recent_failures.scaled(RECENT_DECAY)
        self._latency.on_period_end()

    def total_counts(self, measure: Measure, group_name: str = ALL_REQUESTS.name) -> PairedCounts:
        """Returns a group's counts of a measure, over the cells in which both sides had requests.

        With a baseline, these are the cells in which the candidate had requests.
        """
        return self._totals.get(GroupMeasure(group_name, measure), PairedCounts())

    def log_e_value(self) -> float:
        """Returns the logarithm of the weighted mean of all regression tests.

        If the candidate is no worse than control, the probability that the mean ever exceeds 1/alpha is at
        most alpha. Tests of groups that have not been seen have their initial value of 1.
        """
        tested_weight = 0.0
        logs = []
        for key, test in self.regression_tests.items():
            logs.append(math.log(key.weight) + test.log_value())
            tested_weight += key.weight
        logs.append(math.log(max(MIN_UNTESTED_WEIGHT, 1.0 - tested_weight)))
        return log_sum_exp(logs)

    def strongest_regression(self) -> GroupMeasure:
        """Returns the group and measure whose test contributes most to the e-value."""

        def contribution(key: RegressionTest) -> float:
            return math.log(key.weight) + self.regression_tests[key].log_value()

        return max(self.regression_tests, key=contribution).group_measure

    def as_baseline(self) -> Baseline:
        """Returns the baseline against which the last stage, which has no control, is tested.

        Groups of the level `DIMENSION` get no bound: the last stage tests each cell against the bound of its
        stratum, or against the bound over all requests if the stratum has none.
        """
        rates = {}
        for key in self.regression_tests:
            if key.group.level is not Level.DIMENSION:
                cluster_size = self._cluster_size(key.measure)
                counts = self._totals[key.group_measure]
                rates[key.group_measure] = max_baseline_rate(counts, cluster_size, self.thresholds)
        return Baseline(self._latency.all_thresholds(), rates)

    def _observe_outage(self, failures: PairedCounts) -> bool:
        """Returns whether control's failure rate in a cell indicates an outage.

        Adds the requests of a cell with an outage to `recent_outage_requests`. Such a cell cannot raise the
        e-value.
        """
        outage_failures = self.thresholds.outage_failure_rate * max(1, failures.control_requests)
        is_outage = failures.control_failures >= outage_failures
        if is_outage:
            self.recent_outage_requests += failures.requests
        return is_outage

    def _test_cell(
        self, stratum: Stratum, measure: Measure, counts: PairedCounts, *, is_outage: bool
    ) -> LogGains:
        """Returns the cell's log gains in the regression tests; updates the non-inferiority test."""
        cluster_size = self._cluster_size(measure)
        if measure is Measure.FAILED_REQUESTS:
            self.recent_failures += counts
        if not counts.control_requests:
            assert self.baseline is not None
            max_rate = self.baseline.max_failure_rate(stratum_name(stratum), measure)
            return regression_log_gains(counts, max_rate, 0.0, cluster_size)
        log_gains = regression_log_gains(
            counts, self.thresholds.absolute_tolerance, self.thresholds.relative_tolerance, cluster_size
        )
        if is_outage:  # a fault that also affects control may lower the e-value, but not raise it
            log_gains = [min(0.0, log_gain) for log_gain in log_gains]
        self._overdispersion[measure].observe(stratum_name(stratum), counts)
        margin = self.thresholds.non_inferiority_margins.get(measure)
        if margin is not None:
            test = self.non_inferiority_tests.setdefault(measure, EProcess())
            test.update(non_inferiority_log_gains(counts, margin, cluster_size))
        return log_gains

    def _cluster_size(self, measure: Measure) -> float:
        estimate = self._overdispersion.setdefault(measure, Overdispersion())
        return estimate.cluster_size(self.thresholds.min_cluster_size)

    def _update_groups(self, stratum: Stratum, measure: Measure, update: _StratumUpdate) -> None:
        for group in groups_of(stratum):
            key = RegressionTest(group, measure)
            self.regression_tests.setdefault(key, EProcess()).update(update.log_gains)
            counts = self._totals.get(key.group_measure, PairedCounts())
            self._totals[key.group_measure] = counts + update.counts


def _accumulate(
    updates: dict[tuple[Stratum, Measure], _StratumUpdate],
    stratum: Stratum,
    measure: Measure,
    log_gains: LogGains,
    counts: PairedCounts,
) -> None:
    update = updates.get((stratum, measure))
    if update is None:
        updates[(stratum, measure)] = _StratumUpdate(log_gains, counts)
    else:
        update.add(log_gains, counts)
