"""The result of an election, which the candidate hands to the leader. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.leadership.ballots import Ballot
    from onyxpost.leadership.protocol import Record

FIRST_ROUND = 1  # that of the election; a leader counts on from here. 0 stands for a prepare


@dataclass(frozen=True, slots=True)
class ElectionWon:
    """A majority accepted the ballot: the lease counts from `requested_at_ms`."""

    ballot: Ballot
    record: Record
    record_epoch_ms: int
    requested_at_ms: float
    accepted_by: frozenset[str]
