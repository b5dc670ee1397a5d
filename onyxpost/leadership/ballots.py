"""Ballots, as in Paxos: a number, which is also the fencing token, and the node that proposes it. Pure.

Acceptors compare the number alone, and promise one number to one proposer only, so no two grants share a
fencing token. A number is the proposer's clock in Unix milliseconds, or one above the highest number known if
that is more. So numbers grow even when every acceptor has lost its state, as the clock has moved on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, lt=2**53)]


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node and its incarnation: a number that is higher after each restart."""

    name: str
    incarnation: int


class Ballot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A proposal to lead a role. The incarnation distinguishes ballots before and after a node's restart."""

    number: Number
    node: Name
    incarnation: Number


NO_BALLOT = Ballot(0, "-", 0)


def may_supersede(ballot: Ballot, promised: Ballot) -> bool:
    """Whether an acceptor that promised `promised` may accept `ballot`."""
    return ballot.number > promised.number or ballot == promised


class BallotCounter:
    """Numbers the ballots of one node, each above all numbers that it has seen or used."""

    def __init__(self, highest_known: int = 0) -> None:
        self.highest_known = highest_known

    def observe(self, number: int) -> None:
        """Takes note of a number that another node has used."""
        self.highest_known = max(self.highest_known, number)

    def next_number(self, now_ms: float) -> int:
        """Returns the number of a new ballot."""
        self.highest_known = max(int(now_ms), self.highest_known + 1)
        return self.highest_known
