"""A node that tries to become the leader of a role: it queries, prepares and requests acceptance. No I/O."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from msgspec.structs import replace

from onyxpost.leadership.ballots import NO_BALLOT, Ballot, BallotCounter, NodeIdentity
from onyxpost.leadership.effects import Effect, SendMessage
from onyxpost.leadership.election import FIRST_ROUND, ElectionWon
from onyxpost.leadership.election_schedule import ElectionSchedule
from onyxpost.leadership.protocol import (
    EMPTY_RECORD,
    Accept,
    Accepted,
    Message,
    Prepare,
    Promise,
    Record,
    Reject,
    Release,
    StatusQuery,
    StatusReply,
)
from onyxpost.leadership.rejections import ROUTINE_REJECTIONS, rejection_diagnostic
from onyxpost.leadership.status_poll import StatusPoll

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_set import AcceptorSet
    from onyxpost.leadership.role_lease_timing import RoleLeaseTiming

# No acceptor can have promised a ballot number further ahead of this node's clock than this many times
# `skew_ms`: an acceptor without state treats numbers up to 2 skews above its own clock as promised, and its
# clock is at most 1 skew ahead of this node's. The fourth skew is a margin.
MAX_BALLOT_LEAD_SKEWS = 4.0


class Phase(Enum):
    """The phase of a candidate's attempt to be elected."""

    IDLE = auto()
    QUERYING = auto()
    PREPARING = auto()
    ACCEPTING = auto()


class Candidate:
    """Tries to get this node elected once a majority reports the role as free and its turn has come.

    `rejected_by` has the acceptors that rejected the ballot in the current phase. `free_since_ms` is when
    this node learned that the role is free; None if the role is not known to be free.
    """

    def __init__(
        self,
        now_ms: float,
        identity: NodeIdentity,
        role: str,
        timing: RoleLeaseTiming,
        acceptors: AcceptorSet,
        ballot_numbers: BallotCounter,
    ) -> None:
        self.identity = identity
        self.role = role
        self.timing = timing
        self.acceptors = acceptors
        self.phase = Phase.IDLE
        self.phase_started_at_ms = now_ms
        self.next_action_at_ms = now_ms
        self.free_since_ms: float | None = None
        self.ballot = NO_BALLOT
        self.ballot_numbers = ballot_numbers
        self.schedule = ElectionSchedule(identity, role, timing)
        self.status_poll = StatusPoll(acceptors)
        self.promises: dict[str, Promise] = {}
        self.accepted_by: set[str] = set()
        self.rejected_by: set[str] = set()
        self.record = EMPTY_RECORD
        self.record_epoch_ms = 0

    @property
    def has_open_ballot(self) -> bool:
        """Whether acceptors may have promised or accepted this candidate's ballot."""
        return self.phase in (Phase.PREPARING, Phase.ACCEPTING)

    def tick(self, now_ms: float) -> list[Effect]:
        """Sends a status query when one is due; abandons a query or ballot that has timed out."""
        if now_ms < self.next_action_at_ms:
            return []
        if self.phase is Phase.IDLE:
            return self.query_status(now_ms)
        if self.phase is Phase.QUERYING:
            self.wait_until(now_ms, now_ms + self.timing.renew_interval_ms)
            return []
        return self._abandon_ballot(now_ms)

    def wait_until(self, now_ms: float, until_ms: float) -> None:
        """Does nothing until `until_ms`; an open query or ballot is dropped without a message."""
        self.phase = Phase.IDLE
        self.next_action_at_ms = max(now_ms, until_ms)

    def query_status(self, now_ms: float) -> list[Effect]:
        """Returns status queries to all acceptors, which reply whether the role is free."""
        self._start_phase(Phase.QUERYING, now_ms, self.timing.response_timeout_ms)
        self.status_poll = StatusPoll(self.acceptors)
        return self._broadcast(
            StatusQuery(role=self.role, version=self.acceptors.version, queried_at_ms=int(now_ms))
        )

    def set_rank(self, rank: int) -> None:
        """Sets how many nodes have precedence over this one."""
        self.schedule.set_rank(rank)

    def on_leader_resigned(self, now_ms: float) -> None:
        """Schedules a query for this node's turn if the node is preferred: the leader released the role."""
        if not self.has_open_ballot and self.schedule.is_preferred:
            self.free_since_ms = now_ms
            self.wait_until(now_ms, self.schedule.turn_at_ms(now_ms))

    def handle(self, now_ms: float, sender: str, message: Message) -> list[Effect] | ElectionWon:
        """Handles an acceptor's reply; ignores replies to earlier queries and ballots.

        Returns effects, or the result of the election once a majority has accepted the ballot.
        """
        if sender not in self.acceptors.names or message.version != self.acceptors.version:
            return []
        match message:
            case StatusReply():
                return self._handle_status(now_ms, sender, message)
            case Promise() if self.phase is Phase.PREPARING and message.ballot == self.ballot:
                self.promises[sender] = message
                if len(self.promises) >= self.acceptors.majority:
                    return self.request_acceptance(now_ms)
            case Accepted() if self.phase is Phase.ACCEPTING and message.ballot == self.ballot:
                return self._handle_accepted(now_ms, sender)
            case Reject() if self.has_open_ballot and message.ballot == self.ballot:
                return self._handle_reject(now_ms, sender, message)
        return []

    def request_acceptance(self, now_ms: float) -> list[Effect]:
        """Asks the acceptors to accept the newest record of the promises under this ballot.

        Called with promises of a majority: at least one of them has the last committed record.
        """
        newest = max((promise.record for promise in self.promises.values()), key=Record.recency_key)
        self.record = replace(newest, ballot_number=self.ballot.number)
        self.record_epoch_ms = max(promise.record_epoch_ms for promise in self.promises.values())
        self._start_phase(Phase.ACCEPTING, now_ms, 2.0 * self.timing.response_timeout_ms)
        self.accepted_by = set()
        self.rejected_by = set()
        return self._broadcast(
            Accept(
                role=self.role,
                version=self.acceptors.version,
                ballot=self.ballot,
                round_id=FIRST_ROUND,
                lease_ms=self.timing.lease_ms,
                sequence=self.record.sequence,
                committed_set_version=0,
                record_epoch_ms=self.record_epoch_ms,
                record=self.record,
            )
        )

    def _handle_status(self, now_ms: float, sender: str, reply: StatusReply) -> list[Effect]:
        if self.phase is not Phase.QUERYING or reply.queried_at_ms != int(self.phase_started_at_ms):
            return []
        self.status_poll.record(sender, reply)
        self._observe_ballot_number(now_ms, reply.highest_ballot)
        return self._evaluate_status(now_ms)

    def _evaluate_status(self, now_ms: float) -> list[Effect]:
        """Prepares a ballot if a majority reports the role as free and it is this node's turn; else waits."""
        if self.status_poll.is_role_free:
            if self.free_since_ms is None:
                self.free_since_ms = now_ms
            turn_at_ms = self.schedule.turn_at_ms(self.free_since_ms)
            if now_ms >= turn_at_ms:
                return self._prepare(now_ms)
            self.wait_until(now_ms, turn_at_ms)
        elif self.status_poll.is_complete:
            self.free_since_ms = None
            free_in_ms = self.status_poll.free_in_ms()
            if free_in_ms is None:
                free_in_ms = self.timing.renew_interval_ms
            self.wait_until(now_ms, now_ms + free_in_ms + self.schedule.query_delay_ms())
        return []

    def _prepare(self, now_ms: float) -> list[Effect]:
        number = self.ballot_numbers.next_number(now_ms)
        self.ballot = Ballot(number, self.identity.name, self.identity.incarnation)
        self._start_phase(Phase.PREPARING, now_ms, 2.0 * self.timing.response_timeout_ms)
        self.promises = {}
        self.rejected_by = set()
        self.free_since_ms = None
        return self._broadcast(Prepare(role=self.role, version=self.acceptors.version, ballot=self.ballot))

    def _handle_accepted(self, now_ms: float, sender: str) -> list[Effect] | ElectionWon:
        self.accepted_by.add(sender)
        has_majority = len(self.accepted_by) >= self.acceptors.majority
        if not has_majority or now_ms >= self.phase_started_at_ms + self.timing.lease_ms:
            return []
        self.schedule.on_ballot_won()
        return ElectionWon(
            ballot=self.ballot,
            record=self.record,
            record_epoch_ms=self.record_epoch_ms,
            requested_at_ms=self.phase_started_at_ms,
            accepted_by=frozenset(self.accepted_by),
        )

    def _handle_reject(self, now_ms: float, sender: str, reject: Reject) -> list[Effect]:
        self._observe_ballot_number(now_ms, reject.highest_ballot)
        self.rejected_by.add(sender)
        effects: list[Effect] = []
        if reject.reason not in ROUTINE_REJECTIONS:
            effects.append(rejection_diagnostic(sender, reject))
        if len(self.rejected_by) > len(self.acceptors.names) - self.acceptors.majority:
            effects += self._abandon_ballot(now_ms)
        return effects

    def _abandon_ballot(self, now_ms: float) -> list[Effect]:
        """Releases the acceptors of a ballot that failed, and schedules the next query after a backoff."""
        release = Release(
            role=self.role, version=self.acceptors.version, ballot=self.ballot, is_resignation=False
        )
        self.schedule.on_ballot_failed()
        self.free_since_ms = None
        self.wait_until(now_ms, now_ms + self.schedule.backoff_ms())
        return self._broadcast(release)

    def _observe_ballot_number(self, now_ms: float, number: int) -> None:
        """Makes later ballots exceed `number`; ignores a number too high for any acceptor to promise."""
        if number <= now_ms + MAX_BALLOT_LEAD_SKEWS * self.timing.skew_ms:
            self.ballot_numbers.observe(number)

    def _start_phase(self, phase: Phase, now_ms: float, timeout_ms: float) -> None:
        self.phase = phase
        self.phase_started_at_ms = now_ms
        self.next_action_at_ms = now_ms + timeout_ms

    def _broadcast(self, message: Message) -> list[Effect]:
        return [SendMessage(name, message) for name in self.acceptors.names]
