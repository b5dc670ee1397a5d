"""The times at which a candidate sends queries, prepares ballots and retries. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.leadership.rendezvous import deterministic_jitter

if TYPE_CHECKING:
    from onyxpost.leadership.ballots import NodeIdentity
    from onyxpost.leadership.role_lease_timing import RoleLeaseTiming

# Rank 0 is the most preferred. The nodes of ranks 0 to 2 query again as soon as a lease may have ended. The
# others wait longer, so that the number of messages grows slowly with the size of the cluster.
PREFERRED_RANKS = 3
NON_PREFERRED_QUERY_DELAY_LEASES = 4.0  # delay of nodes that are not preferred, in lease durations
BACKOFF_DOUBLINGS_LIMIT = 5  # limits the backoff after failed ballots to 32 rank delays


@dataclass(slots=True)
class ElectionSchedule:
    """Computes the delays of one candidate.

    `rank` is the number of nodes that have precedence over this one; `failed_ballots` counts the ballots that
    failed since the last one that won.
    """

    identity: NodeIdentity
    role: str
    timing: RoleLeaseTiming
    rank: int = 0
    failed_ballots: int = 0

    @property
    def is_preferred(self) -> bool:
        """Whether this node queries as soon as the role may be free."""
        return self.rank < PREFERRED_RANKS

    def set_rank(self, rank: int) -> None:
        """Sets how many nodes have precedence over this one."""
        self.rank = rank

    def on_ballot_won(self) -> None:
        """Ends the backoff: a majority accepted the ballot."""
        self.failed_ballots = 0

    def on_ballot_failed(self) -> None:
        """Doubles the limit of the next backoff, up to a maximum.

        Called when too few acceptors promised or accepted the ballot.
        """
        self.failed_ballots += 1

    def turn_at_ms(self, free_since_ms: float) -> float:
        """Returns when this node may prepare a ballot for a role that is free since `free_since_ms`.

        The node of rank 0 may do so at once, unless its last ballot failed.
        """
        is_first = not self.rank and not self.failed_ballots
        if is_first:
            return free_since_ms
        return free_since_ms + self.timing.rank_delay_ms * (self.rank + self._rank_jitter())

    def query_delay_ms(self) -> float:
        """Returns the delay of the next query after the time at which the role may be free."""
        if not self.is_preferred:
            return NON_PREFERRED_QUERY_DELAY_LEASES * self.timing.lease_ms
        return self.timing.rank_delay_ms * self._rank_jitter()

    def backoff_ms(self) -> float:
        """Returns the delay after a failed ballot: between 0 and a limit that doubles with each failure."""
        limit_ms = self.timing.rank_delay_ms * 2.0 ** min(self.failed_ballots, BACKOFF_DOUBLINGS_LIMIT)
        return limit_ms * self._jitter(self.failed_ballots)

    def _rank_jitter(self) -> float:
        return self._jitter(self.failed_ballots, "rank")

    def _jitter(self, *seed: object) -> float:
        return deterministic_jitter(self.identity.name, self.identity.incarnation, self.role, *seed)
