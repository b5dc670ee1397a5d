"""Bugs of duties, to see that they are found: put into the program's classes in a process of the rig."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from onyxpost.leadership.ballots import NO_BALLOT
from onyxpost.leadership.candidate import Candidate
from onyxpost.leadership.leader import Leader
from onyxpost.leadership.protocol import EMPTY_RECORD
from onyxpost.node.cluster_extension import ClusterExtension
from onyxpost.node.edge_node import EdgeNode
from onyxpost.node.extension import find_extension

CARELESS = "careless"  # the taker's: fences are not looked at


def _careless(program: EdgeNode) -> None:
    """Nothing in the nodes."""


def _forgets(program: EdgeNode) -> None:
    """A voter that restarted with nothing votes at once."""
    cluster = find_extension(program.extensions, ClusterExtension)
    assert cluster is not None
    assert cluster.leadership is not None
    for voter in cluster.leadership.registry.acceptors.values():
        voter.is_voting = True
        voter.recovery = None
        voter.promised = NO_BALLOT


def _overstays(program: EdgeNode) -> None:
    """A holder that does not know its lease's end."""
    put: Any = Leader
    made = Leader.__init__

    def endless(self: Leader, *given: Any) -> None:
        made(self, *given)
        self.lease_ends_at_ms = float("inf")

    put.__init__ = endless


def _begins_anew(program: EdgeNode) -> None:
    """A holder that does not carry the record on."""
    put: Any = Candidate
    asked = Candidate.request_acceptance

    def without(self: Candidate, now: float) -> Any:
        self.promises = {name: replace(p, record=EMPTY_RECORD) for name, p in self.promises.items()}
        return asked(self, now)

    put.request_acceptance = without


PLANTS: dict[str, Callable[[EdgeNode], None] | None] = {
    CARELESS: _careless,
    "forgets": _forgets,
    "overstays": _overstays,
    "begins-anew": _begins_anew,
}
