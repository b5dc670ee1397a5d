"""Estimates the overdispersion of failures, as the size of the clusters in which failures come.

Candidate and control differ more from cell to cell than they would if requests failed independently. The
estimate is predictable in the sense of martingales: each cell is tested with the estimate from earlier
cells and is observed afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from onyxpost.rollout.analysis.paired_counts import PairedCounts

PRIOR_FAILURES = 30.0
"""Weight of the minimum cluster size in the estimate, as a number of failures."""


class _StratumSurplus(NamedTuple):
    failures: float = 0.0
    requests: float = 0.0

    @property
    def rate(self) -> float:
        return self.failures / self.requests if self.requests else 0.0


class Overdispersion:
    """The ratio of the squared surplus of the candidate's failures to its variance with independent failures.

    The surplus is the difference from control's failures, scaled to the candidate's requests. It is taken
    relative to each stratum's mean, so that a lasting difference between candidate and control does not
    count as dispersion.
    """

    def __init__(self) -> None:
        self._squared_surplus = 0.0
        self._independent_variance = 0.0
        self._strata: dict[str, _StratumSurplus] = {}

    def cluster_size(self, minimum: float) -> float:
        """Returns the estimated size of clusters of failures, at least `minimum`."""
        squared_surplus = PRIOR_FAILURES * minimum + self._squared_surplus
        return max(minimum, squared_surplus / (PRIOR_FAILURES + self._independent_variance))

    def observe(self, stratum_name: str, counts: PairedCounts) -> None:
        """Adds a cell to the estimate; control must have had requests in the cell."""
        requests = counts.candidate_requests
        ratio = requests / counts.control_requests
        previous = self._strata.get(stratum_name, _StratumSurplus())
        surplus = counts.candidate_failures - ratio * counts.control_failures
        self._squared_surplus += (surplus - requests * previous.rate) ** 2
        self._independent_variance += counts.candidate_failures + ratio * ratio * counts.control_failures
        self._strata[stratum_name] = _StratumSurplus(
            previous.failures + surplus, previous.requests + requests
        )
