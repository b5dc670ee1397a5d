"""Sequential tests by betting: one-sided e-processes.

That of a regression test grows if the candidate is worse than control by more than the tolerances, that of a
non-inferiority test if it is worse by less than the margin, or not worse.

The derivation is in docs/rollouts-analysis.md, after "testing by betting" by Shafer and by Waudby-Smith and
Ramdas. A cell holds the counts of one node in one stratum between two of its snapshots: N requests of the
candidate, of which x failed, and M of control, of which y failed. With r = N/M * (1 + relative tolerance) and
any stake s with s * r < 1,

    e = (1 + s)^x * (1 - s * r)^y * exp(-s * N * absolute tolerance)

has a mean of at most one if the candidate's failure rate is at most (1 + relative tolerance) times control's
plus the absolute tolerance, whatever control's rate is and however it changes. If failures come in clusters
of up to c failures, the same is true of e^(1/c). The limit on a cell's gain only lowers the mean, and
prevents a single cell from halting a rollout. By Ville's inequality, the probability that the product over
cells ever exceeds 1/alpha is at most alpha.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.rollout.analysis.paired_counts import PairedCounts

LogGains = Sequence[float]
"""Logarithms of the gains of one cell, in the order of `STAKES`."""

STAKES = (0.05, 0.2, 0.5, 0.9)
"""Stakes among which the capital is split equally.

Small stakes suit small regressions, large stakes large regressions.
"""

MAX_LOG_GAIN = math.log(4.0)
"""Upper limit on the logarithm of the gain of one cell."""

INITIAL_FRACTION = 0.5
"""Fraction of the capital that is bet from the start; the rest is a reserve for late regressions."""

RELEASED_FRACTION = 0.05
"""Fraction of the reserve that is released in each period."""


def regression_log_gains(
    counts: PairedCounts, absolute_tolerance: float, relative_tolerance: float, cluster_size: float
) -> LogGains:
    """Returns the log gains of a bet that the candidate fails more often than the tolerances allow.

    Without control requests, the bet is that the candidate's failure rate exceeds `absolute_tolerance`.
    """
    requests = counts.candidate_requests
    failures = counts.candidate_failures
    ratio = 0.0
    if counts.control_requests:
        ratio = requests / counts.control_requests * (1.0 + relative_tolerance)
    stakes = [stake / max(1.0, ratio) for stake in STAKES]
    if not failures and not counts.control_failures:
        return [-stake * requests * absolute_tolerance / cluster_size for stake in stakes]
    log_gains = []
    for stake in stakes:
        log_gain = failures * math.log1p(stake)
        if counts.control_failures:
            log_gain += counts.control_failures * math.log1p(-stake * ratio)
        log_gain -= stake * requests * absolute_tolerance
        log_gains.append(min(MAX_LOG_GAIN, log_gain / cluster_size))
    return log_gains


def non_inferiority_log_gains(counts: PairedCounts, margin: float, cluster_size: float) -> LogGains:
    """Returns the log gains of a bet that the candidate's failure rate is below control's plus the margin.

    The bet is the opposite of that of `regression_log_gains`. Control must have had requests.
    """
    requests = counts.candidate_requests
    ratio = requests / counts.control_requests
    log_gains = []
    for unscaled_stake in STAKES:
        stake = unscaled_stake / max(1.0, ratio)
        log_gain = (
            counts.candidate_failures * math.log1p(-stake)
            + counts.control_failures * math.log1p(stake * ratio)
            + stake * requests * margin
        )
        log_gains.append(min(MAX_LOG_GAIN, log_gain / cluster_size))
    return log_gains


def log_sum_exp(logs: Sequence[float]) -> float:
    """Returns the logarithm of the sum of the exponentials, without overflow."""
    largest = max(logs)
    if largest == -math.inf:
        return largest
    return largest + math.log(sum(math.exp(value - largest) for value in logs))


class EProcess:
    """An e-process: capital that is split among the stakes, and a reserve.

    Under the null hypothesis, the probability that its value ever exceeds 1/alpha is at most alpha.
    """

    __slots__ = ("_log_capital", "_log_reserve")

    def __init__(self) -> None:
        self._log_capital = [math.log(INITIAL_FRACTION / len(STAKES))] * len(STAKES)
        self._log_reserve = math.log(1.0 - INITIAL_FRACTION)

    def update(self, log_gains: LogGains) -> None:
        """Multiplies the capital on each stake by its gain in one or several cells."""
        self._log_capital = [
            capital + log_gain for capital, log_gain in zip(self._log_capital, log_gains, strict=True)
        ]

    def release_reserve(self) -> None:
        """Moves a part of the reserve to the stakes. The times of the calls must not depend on results."""
        released = self._log_reserve + math.log(RELEASED_FRACTION / len(STAKES))
        self._log_reserve += math.log1p(-RELEASED_FRACTION)
        self._log_capital = [log_sum_exp((capital, released)) for capital in self._log_capital]

    def log_value(self) -> float:
        """Returns the logarithm of the whole capital, initially 0."""
        return log_sum_exp((*self._log_capital, self._log_reserve))
