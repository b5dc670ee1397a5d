"""The lease of a role that one acceptor granted last, measured by its own clock. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.leadership.ballots import NO_BALLOT, Ballot


@dataclass(slots=True)
class GrantedRoleLease:
    """The last lease that one acceptor granted for a role.

    `highest_released` is the highest ballot number that a node has released. The acceptor rejects ballots up
    to this number, as a delayed message could otherwise grant a released lease again.
    """

    ballot: Ballot = NO_BALLOT
    ends_at_ms: float = 0.0
    highest_released: int = 0

    def is_held_by_other(self, now_ms: float, ballot: Ballot) -> bool:
        """Whether the lease is active and belongs to another node or incarnation than that of `ballot`."""
        is_same_owner = (self.ballot.node, self.ballot.incarnation) == (ballot.node, ballot.incarnation)
        return now_ms < self.ends_at_ms and not is_same_owner

    def grant(self, ballot: Ballot, ends_at_ms: float) -> None:
        """Grants the lease to the ballot's node, or renews it, until `ends_at_ms`."""
        self.ballot = ballot
        self.ends_at_ms = ends_at_ms

    def release(self, now_ms: float, ballot: Ballot) -> None:
        """Ends the lease, if it was granted to this ballot or an earlier one."""
        self.highest_released = max(self.highest_released, ballot.number)
        if self.ballot.number <= ballot.number:
            self.ends_at_ms = now_ms
