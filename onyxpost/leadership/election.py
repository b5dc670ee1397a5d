"""The result of an election, from which the leader is created. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.leadership.ballots import Ballot
    from onyxpost.leadership.protocol import Record

# The round of the election; a leader's rounds have the following numbers. Round 0 in a Reject stands for a
# Prepare.
FIRST_ROUND = 1


@dataclass(frozen=True, slots=True)
class ElectionWon:
    """The ballot that a majority accepted.

    The lease begins at `requested_at_ms`, when the candidate requested acceptance. `record` is the role's
    current record; `accepted_by` names the acceptors that have it.
    """

    ballot: Ballot
    record: Record
    record_epoch_ms: int
    requested_at_ms: float
    accepted_by: frozenset[str]
