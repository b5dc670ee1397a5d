"""The leader of a role: renewals, writes, and resigning at the latest when the lease ends. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from onyxpost.leadership.effects import Effect, LeaseLost, RecordCommitted, SendMessage
from onyxpost.leadership.election import FIRST_ROUND, ElectionWon
from onyxpost.leadership.errors import NotLeaderError, RecordTooLongError
from onyxpost.leadership.lease_timing import RECORD_LIMIT_BYTES, LeaseTiming
from onyxpost.leadership.protocol import Accept, Accepted, Message, Record, Reject, RejectReason, Release
from onyxpost.leadership.rejections import rejection_diagnostic

if TYPE_CHECKING:
    from onyxpost.leadership.membership import AcceptorSet

LEASE_EXPIRED = "no majority renewed the lease"
UNKNOWN_SEQUENCE = -1  # below every sequence number: an acceptor that may have no record of this ballot


@dataclass(slots=True)
class Round:
    """One request to all acceptors to accept a record and extend the lease."""

    requested_at_ms: float
    sequence: int
    accepted_by: set[str] = field(default_factory=set)


class Leader:
    """Holds the lease that `election` won, from the moment at which it was requested."""

    def __init__(self, role: str, timing: LeaseTiming, acceptors: AcceptorSet, election: ElectionWon) -> None:
        self.role = role
        self.timing = timing
        self.acceptors = acceptors
        self.ballot = election.ballot
        self.record = election.record
        self.record_epoch_ms = election.record_epoch_ms
        self.lease_ends_at_ms = election.requested_at_ms + timing.lease_ms
        self.next_renewal_at_ms = election.requested_at_ms + timing.renew_interval_ms
        # The sequence of the newest record that each acceptor certainly has.
        self.acceptor_sequences = {name: election.record.sequence for name in election.accepted_by}
        self.committed_sequence = election.record.sequence
        self.settled_version = acceptors.version
        self.round_id = FIRST_ROUND
        self.rounds: dict[int, Round] = {}

    @property
    def fencing_token(self) -> int:
        """The number of the ballot that was elected."""
        return self.ballot.number

    def holds_lease(self, now_ms: float) -> bool:
        """Whether the lease certainly holds at this moment."""
        return now_ms < self.lease_ends_at_ms

    def tick(self, now_ms: float) -> list[Effect]:
        """Renews the lease when that is due; resigns when it is over."""
        if not self.holds_lease(now_ms):
            return self.resign(LEASE_EXPIRED)
        return self._start_round(now_ms) if now_ms >= self.next_renewal_at_ms else []

    def write(self, now_ms: float, body: bytes) -> list[Effect]:
        """Starts to replace the record; `RecordCommitted` with its sequence number confirms it.

        Raises:
            NotLeaderError: the lease is over.
            RecordTooLongError: the body is over the limit.
        """
        if len(body) > RECORD_LIMIT_BYTES:
            raise RecordTooLongError(f"a record of {len(body)} bytes", self.role)
        if not self.holds_lease(now_ms):
            raise NotLeaderError("the lease is over", self.role)
        self.record = Record(self.fencing_token, self.record.sequence + 1, self.fencing_token, body)
        return self._start_round(now_ms)

    def handle(self, now_ms: float, sender: str, message: Message) -> list[Effect]:
        """Handles an acceptor's reply."""
        if not self.holds_lease(now_ms):
            return self.resign(LEASE_EXPIRED)
        if sender not in self.acceptors.names or message.version != self.acceptors.version:
            return []
        match message:
            case Accepted() if message.ballot == self.ballot:
                return self.handle_accepted(now_ms, sender, message)
            case Reject() if message.ballot == self.ballot:
                return self._handle_reject(sender, message)
        return []

    def handle_accepted(self, now_ms: float, sender: str, reply: Accepted) -> list[Effect]:
        """Extends the lease and commits the record once a majority accepted the round."""
        known = self.acceptor_sequences.get(sender, UNKNOWN_SEQUENCE)
        self.acceptor_sequences[sender] = max(known, reply.sequence)
        renewal = self.rounds.get(reply.round_id)
        # A reply a lease or more after its request does not count. An acceptor that restarted without state
        # relies on that: once it has waited for a lease, no reply from before its restart commits a write.
        if renewal is None or now_ms >= renewal.requested_at_ms + self.timing.lease_ms:
            return []
        renewal.accepted_by.add(sender)
        if len(renewal.accepted_by) < self.acceptors.majority:
            return []
        self.lease_ends_at_ms = max(self.lease_ends_at_ms, renewal.requested_at_ms + self.timing.lease_ms)
        self.settled_version = self.acceptors.version
        if renewal.sequence <= self.committed_sequence:
            return []
        self.committed_sequence = renewal.sequence
        return [RecordCommitted(self.role, self.fencing_token, renewal.sequence)]

    def resign(self, reason: str) -> list[Effect]:
        """Ends the lease at once and releases the acceptors; `Participant.resign` notifies other nodes."""
        ended_at_ms = self.lease_ends_at_ms
        self.lease_ends_at_ms = float("-inf")
        release = Release(role=self.role, version=self.acceptors.version, ballot=self.ballot, was_leader=True)
        lost = LeaseLost(self.role, self.fencing_token, reason, ended_at_ms)
        return [lost, *(SendMessage(name, release) for name in self.acceptors.names)]

    def change_acceptors(self, acceptors: AcceptorSet) -> None:
        """Applies the next acceptor set. The lease that the old one granted runs to its end.

        Open rounds are dropped, so that replies of two sets are never counted together.
        """
        self.acceptors = acceptors
        self.rounds = {}
        self.acceptor_sequences = {}

    def _start_round(self, now_ms: float) -> list[Effect]:
        """Requests a lease from now on, and sends the record to each acceptor that may not have it."""
        self.round_id += 1
        self.next_renewal_at_ms = now_ms + self.timing.renew_interval_ms
        self.rounds = {
            round_id: started
            for round_id, started in self.rounds.items()
            if now_ms < started.requested_at_ms + self.timing.lease_ms
        }
        self.rounds[self.round_id] = Round(now_ms, self.record.sequence)
        return [SendMessage(name, self._accept_request(name)) for name in self.acceptors.names]

    def _accept_request(self, acceptor: str) -> Accept:
        has_record = self.acceptor_sequences.get(acceptor, UNKNOWN_SEQUENCE) >= self.record.sequence
        return Accept(
            role=self.role,
            version=self.acceptors.version,
            ballot=self.ballot,
            round_id=self.round_id,
            lease_ms=self.timing.lease_ms,
            sequence=self.record.sequence,
            settled_version=self.settled_version,
            record_epoch_ms=self.record_epoch_ms,
            record=None if has_record else self.record,
        )

    def _handle_reject(self, sender: str, reject: Reject) -> list[Effect]:
        if reject.reason is RejectReason.RECORD_MISSING:
            self.acceptor_sequences.pop(sender, None)
        elif reject.reason in (RejectReason.CLOCK_AHEAD, RejectReason.LEASE_TOO_LONG):
            return [rejection_diagnostic(sender, reject)]
        return []
