"""Ballots, as in Paxos: a number, which is also the fencing token, and the node that proposes it. No I/O.

Between different ballots acceptors compare only the numbers; a ballot that equals the promised one in all
fields is accepted again. An acceptor promises each number to at most one proposer, so no two leases have the
same fencing token. The number of a new ballot is the proposer's clock in Unix milliseconds, or the highest
number known plus one if that is greater. So numbers increase even after all acceptors have lost their state,
because the clock has advanced since the last ballot.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64)]
NonNegativeInt = Annotated[int, Meta(ge=0, lt=2**53)]


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node's name and its incarnation: the Unix time of the process's start in ms.

    The incarnation is lower than before if the clock was set back.
    """

    name: str
    incarnation: int


class Ballot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A proposal of a node to lead a role.

    The incarnation distinguishes a node's ballots from those that it proposed before a restart.
    """

    number: NonNegativeInt
    node: Name
    incarnation: NonNegativeInt


NO_BALLOT = Ballot(0, "-", 0)


def may_supersede(ballot: Ballot, promised: Ballot) -> bool:
    """Whether an acceptor that promised `promised` may accept `ballot`."""
    return ballot.number > promised.number or ballot == promised


class BallotCounter:
    """Numbers the ballots of one node, each above all numbers that it has seen or used."""

    def __init__(self, highest_known: int = 0) -> None:
        self.highest_known = highest_known

    def observe(self, number: int) -> None:
        """Makes later ballots exceed `number`, which another node has used."""
        self.highest_known = max(self.highest_known, number)

    def next_number(self, now_ms: float) -> int:
        """Returns a number for a new ballot, higher than all that were observed or returned before."""
        self.highest_known = max(int(now_ms), self.highest_known + 1)
        return self.highest_known
