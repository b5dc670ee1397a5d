"""When a candidate queries, prepares and tries again. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.leadership.rendezvous import deterministic_jitter

if TYPE_CHECKING:
    from onyxpost.leadership.ballots import NodeIdentity
    from onyxpost.leadership.lease_timing import LeaseTiming

# The first three in rank query again as soon as a lease could end. The others query seldom, so that messages
# grow slowly with the cluster.
PREFERRED_RANKS = 3
SELDOM_QUERY_LEASES = 4.0  # lease durations that the others wait beyond that
BACKOFF_DOUBLINGS_LIMIT = 5  # a failed ballot's delay is at most 32 rank delays


@dataclass(slots=True)
class ElectionSchedule:
    """Delays of one candidate.

    `rank` is how many nodes are to try before this one; `failed_ballots` counts those since the last success.
    """

    identity: NodeIdentity
    role: str
    timing: LeaseTiming
    rank: int = 0
    failed_ballots: int = 0

    @property
    def is_preferred(self) -> bool:
        """Whether this node is among the first that query when the role may be free."""
        return self.rank < PREFERRED_RANKS

    def set_rank(self, rank: int) -> None:
        """Sets how many nodes are to try before this one."""
        self.rank = rank

    def on_ballot_won(self) -> None:
        """A majority accepted the ballot."""
        self.failed_ballots = 0

    def on_ballot_failed(self) -> None:
        """Too few acceptors accepted the ballot."""
        self.failed_ballots += 1

    def turn_at_ms(self, free_since_ms: float) -> float:
        """When this node may prepare: the first in rank at once, unless it has just failed."""
        is_first = not self.rank and not self.failed_ballots
        if is_first:
            return free_since_ms
        return free_since_ms + self.timing.rank_delay_ms * (self.rank + self._rank_jitter())

    def query_delay_ms(self) -> float:
        """The delay of the next query, beyond the time at which the role could be free."""
        if not self.is_preferred:
            return SELDOM_QUERY_LEASES * self.timing.lease_ms
        return self.timing.rank_delay_ms * self._rank_jitter()

    def backoff_ms(self) -> float:
        """The delay after a failed ballot: between 0 and a limit that doubles with each failure."""
        limit_ms = self.timing.rank_delay_ms * 2.0 ** min(self.failed_ballots, BACKOFF_DOUBLINGS_LIMIT)
        return limit_ms * self._jitter(self.failed_ballots)

    def _rank_jitter(self) -> float:
        return self._jitter(self.failed_ballots, "rank")

    def _jitter(self, *seed: object) -> float:
        return deterministic_jitter(self.identity.name, self.identity.incarnation, self.role, *seed)
