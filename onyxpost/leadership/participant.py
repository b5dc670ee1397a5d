"""A node's part in the election of one role: candidate until elected, then leader until it resigns.

No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.leadership.ballots import BallotCounter
from onyxpost.leadership.candidate import Candidate
from onyxpost.leadership.effects import Effect, LeadershipAcquired, SendMessage
from onyxpost.leadership.election import ElectionWon
from onyxpost.leadership.election_schedule import PREFERRED_RANKS
from onyxpost.leadership.errors import NotLeaderError
from onyxpost.leadership.leader import Leader
from onyxpost.leadership.protocol import Message, Release
from onyxpost.leadership.rendezvous import rank_nodes

if TYPE_CHECKING:
    from collections.abc import Collection

    from onyxpost.leadership.acceptor_set import AcceptorSet
    from onyxpost.leadership.ballots import Ballot, NodeIdentity
    from onyxpost.leadership.role_lease_timing import RoleLeaseTiming


@dataclass(frozen=True, slots=True)
class RoleSettings:
    """A role's settings: all nodes of the cluster, and those that are barred from leading the role.

    A leader that resigns notifies all `nodes`, as each one that is not barred may succeed it.
    """

    name: str
    timing: RoleLeaseTiming
    nodes: tuple[str, ...]
    excluded_nodes: tuple[str, ...] = ()


class Participant:
    """Takes part in the election of a role, unless this node is barred from it or is leaving the cluster."""

    def __init__(
        self, now_ms: float, identity: NodeIdentity, settings: RoleSettings, acceptors: AcceptorSet
    ) -> None:
        self.identity = identity
        self.settings = settings
        self.acceptors = acceptors
        self.ranking = rank_nodes(settings.name, settings.nodes, settings.excluded_nodes)
        self.candidate = self._new_candidate(now_ms, BallotCounter())
        self.leader: Leader | None = None
        self.resigned_at_ms: dict[str, float] = {}  # by node; one that resigned lately is less preferred
        self.is_leaving = False

    @property
    def is_eligible(self) -> bool:
        """Whether this node may lead the role: it is not barred."""
        return self.identity.name in self.ranking

    def fencing_token(self, now_ms: float) -> int | None:
        """Returns the fencing token if this node holds the lease at `now_ms`, else None.

        Without a token this node must not act as the leader.
        """
        if self.leader is None or not self.leader.holds_lease(now_ms):
            return None
        return self.leader.fencing_token

    def tick(
        self, now_ms: float, unreachable: Collection[str] = (), other_roles_led: int = 0
    ) -> list[Effect]:
        """Runs the leader's or candidate's periodic work.

        Nodes that are `unreachable` or resigned lately are ignored in the ranking. Each of the
        `other_roles_led` by this node adds one to its rank, which makes it less preferred, so that roles
        spread over the nodes.
        """
        if self.leader is not None:
            return self._demote_without_lease(now_ms, self.leader.tick(now_ms))
        if not self.is_eligible or self.is_leaving:
            return []
        self.resigned_at_ms = {
            node: at_ms
            for node, at_ms in self.resigned_at_ms.items()
            if now_ms < at_ms + self.settings.timing.restart_wait_ms
        }
        absent = set(unreachable) | set(self.resigned_at_ms)
        has_resigned = self.identity.name in self.resigned_at_ms
        rank = self._rank_without(absent) + other_roles_led + PREFERRED_RANKS * has_resigned
        self.candidate.set_rank(rank)
        return self.candidate.tick(now_ms)

    def handle(self, now_ms: float, sender: str, message: Message) -> list[Effect]:
        """Handles an acceptor's reply, or a release by another node."""
        if self.leader is not None:
            return self._demote_without_lease(now_ms, self.leader.handle(now_ms, sender, message))
        if isinstance(message, Release):
            self._handle_release(now_ms, sender, message)
            return []
        if self.is_leaving or not self.is_eligible:
            return []
        outcome = self.candidate.handle(now_ms, sender, message)
        if not isinstance(outcome, ElectionWon):
            return outcome
        settings = self.settings
        self.leader = Leader(settings.name, settings.timing, self.acceptors, outcome)
        return [
            LeadershipAcquired(settings.name, outcome.ballot.number, outcome.record, outcome.record_epoch_ms)
        ]

    def write(self, now_ms: float, body: bytes) -> list[Effect]:
        """Requests acceptance of a new record; `RecordCommitted` reports success.

        Raises:
            NotLeaderError: this node does not lead the role.
            RecordTooLongError: the body exceeds `MAX_RECORD_BYTES`.
        """
        if self.leader is None:
            raise NotLeaderError("this node does not lead the role", self.settings.name)
        return self.leader.write(now_ms, body)

    def resign(self, now_ms: float, reason: str) -> list[Effect]:
        """Resigns from the role if this node leads it; notifies all nodes, so that the next one queries."""
        if self.leader is None:
            return []
        ballot = self.leader.ballot
        effects = self._demote_without_lease(now_ms, self.leader.resign(reason))
        return [*effects, *self._release_to_non_acceptors(ballot)]

    def leave(self, now_ms: float, reason: str) -> list[Effect]:
        """Resigns and takes part in no further election: the process is about to end (SIGTERM).

        An open ballot is released as well. A majority may already have accepted it, and their replies would
        arrive after the process has ended.
        """
        self.is_leaving = True
        if self.leader is not None or not self.candidate.has_open_ballot:
            return self.resign(now_ms, reason)
        ballot = self.candidate.ballot
        self.candidate.wait_until(now_ms, now_ms)
        release = self._release(ballot)
        to_acceptors = [SendMessage(name, release) for name in self.acceptors.names]
        return [*to_acceptors, *self._release_to_non_acceptors(ballot)]

    def raise_ballot_numbers(self, number: int) -> None:
        """Makes the number of this node's next ballot exceed `number`."""
        self.candidate.ballot_numbers.observe(number)

    def change_acceptors(self, now_ms: float, acceptors: AcceptorSet) -> None:
        """Applies the next acceptor set; drops an open ballot and keeps the lease of a leader."""
        self.acceptors = acceptors
        self.candidate = self._new_candidate(now_ms, self.candidate.ballot_numbers)
        if self.leader is not None:
            self.leader.change_acceptors(acceptors)

    def _handle_release(self, now_ms: float, sender: str, release: Release) -> None:
        if not release.is_resignation or release.ballot.node != sender:
            return
        self.resigned_at_ms[sender] = now_ms
        if self.is_eligible and not self.is_leaving:
            self.candidate.set_rank(self._rank_without(self.resigned_at_ms))
            self.candidate.on_leader_resigned(now_ms)

    def _release(self, ballot: Ballot) -> Release:
        return Release(
            role=self.settings.name, version=self.acceptors.version, ballot=ballot, is_resignation=True
        )

    def _release_to_non_acceptors(self, ballot: Ballot) -> list[Effect]:
        others = set(self.settings.nodes) - set(self.acceptors.names) - {self.identity.name}
        return [SendMessage(name, self._release(ballot)) for name in sorted(others)]

    def _rank_without(self, absent: Collection[str]) -> int:
        """Returns the number of nodes with precedence over this one, without those in `absent`."""
        preferred = self.ranking[: self.ranking.index(self.identity.name)]
        return sum(node not in absent for node in preferred)

    def _demote_without_lease(self, now_ms: float, effects: list[Effect]) -> list[Effect]:
        """Makes this node a candidate again if it is a leader without a lease.

        The candidate waits, so that other nodes try first. Returns `effects` unchanged.
        """
        if self.leader is not None and not self.leader.holds_lease(now_ms):
            ballot_numbers = BallotCounter(self.leader.fencing_token)
            self.leader = None
            self.candidate = self._new_candidate(now_ms, ballot_numbers)
            self.candidate.wait_until(now_ms, now_ms + self.settings.timing.renew_interval_ms)
            self.resigned_at_ms[self.identity.name] = now_ms
        return effects

    def _new_candidate(self, now_ms: float, ballot_numbers: BallotCounter) -> Candidate:
        settings = self.settings
        return Candidate(
            now_ms, self.identity, settings.name, settings.timing, self.acceptors, ballot_numbers
        )
