"""The leader of a role: it renews its lease, writes the record, and resigns when the lease ends. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from onyxpost.leadership.effects import Effect, LeadershipLost, RecordCommitted, SendMessage
from onyxpost.leadership.election import FIRST_ROUND, ElectionWon
from onyxpost.leadership.errors import NotLeaderError, RecordTooLongError
from onyxpost.leadership.protocol import Accept, Accepted, Message, Record, Reject, RejectReason, Release
from onyxpost.leadership.rejections import rejection_diagnostic
from onyxpost.leadership.role_lease_timing import MAX_RECORD_BYTES, RoleLeaseTiming

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_set import AcceptorSet

LEASE_EXPIRED = "no majority of acceptors renewed the lease"
UNKNOWN_SEQUENCE = -1  # for an acceptor that may have no record of this ballot; below all sequence numbers


@dataclass(slots=True)
class Round:
    """A request to all acceptors to accept the record with `sequence` and to extend the lease.

    The extended lease counts from `requested_at_ms`.
    """

    requested_at_ms: float
    sequence: int
    accepted_by: set[str] = field(default_factory=set)


class Leader:
    """Holds the lease of a role that this node won in `election`."""

    def __init__(
        self, role: str, timing: RoleLeaseTiming, acceptors: AcceptorSet, election: ElectionWon
    ) -> None:
        self.role = role
        self.timing = timing
        self.acceptors = acceptors
        self.ballot = election.ballot
        self.record = election.record
        self.record_epoch_ms = election.record_epoch_ms
        self.lease_ends_at_ms = election.requested_at_ms + timing.lease_ms
        self.next_renewal_at_ms = election.requested_at_ms + timing.renew_interval_ms
        # For each acceptor, the sequence number of the newest record that it is known to have.
        self.acceptor_sequences = {name: election.record.sequence for name in election.accepted_by}
        self.committed_sequence = election.record.sequence
        self.committed_set_version = acceptors.version
        self.round_id = FIRST_ROUND
        self.rounds: dict[int, Round] = {}

    @property
    def fencing_token(self) -> int:
        """The number of the elected ballot, sent with each fenced call."""
        return self.ballot.number

    def holds_lease(self, now_ms: float) -> bool:
        """Whether the lease is valid at `now_ms`, also at the worst clock rates that are allowed."""
        return now_ms < self.lease_ends_at_ms

    def tick(self, now_ms: float) -> list[Effect]:
        """Requests a renewal of the lease when one is due; resigns if the lease has ended."""
        if not self.holds_lease(now_ms):
            return self.resign(LEASE_EXPIRED)
        return self._start_round(now_ms) if now_ms >= self.next_renewal_at_ms else []

    def write(self, now_ms: float, body: bytes) -> list[Effect]:
        """Requests acceptance of a new record; `RecordCommitted` with its sequence number reports success.

        Raises:
            NotLeaderError: the lease has ended.
            RecordTooLongError: the body exceeds `MAX_RECORD_BYTES`.
        """
        if len(body) > MAX_RECORD_BYTES:
            raise RecordTooLongError(f"record of {len(body)} bytes, limit {MAX_RECORD_BYTES}", self.role)
        if not self.holds_lease(now_ms):
            raise NotLeaderError("the lease has ended", self.role)
        self.record = Record(self.fencing_token, self.record.sequence + 1, self.fencing_token, body)
        return self._start_round(now_ms)

    def handle(self, now_ms: float, sender: str, message: Message) -> list[Effect]:
        """Handles an acceptor's reply; resigns if the lease has ended."""
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
        # A reply does not count if it arrives a lease duration or more after its request. An acceptor that
        # restarted without state relies on this: after its restart wait, which is longer, none of its replies
        # from before the restart can commit a write.
        if renewal is None or now_ms >= renewal.requested_at_ms + self.timing.lease_ms:
            return []
        renewal.accepted_by.add(sender)
        if len(renewal.accepted_by) < self.acceptors.majority:
            return []
        self.lease_ends_at_ms = max(self.lease_ends_at_ms, renewal.requested_at_ms + self.timing.lease_ms)
        self.committed_set_version = self.acceptors.version
        if renewal.sequence <= self.committed_sequence:
            return []
        self.committed_sequence = renewal.sequence
        return [RecordCommitted(self.role, self.fencing_token, renewal.sequence)]

    def resign(self, reason: str) -> list[Effect]:
        """Ends the lease immediately and releases the acceptors.

        `Participant.resign` notifies the nodes that are not acceptors.
        """
        ended_at_ms = self.lease_ends_at_ms
        self.lease_ends_at_ms = float("-inf")
        release = Release(
            role=self.role, version=self.acceptors.version, ballot=self.ballot, is_resignation=True
        )
        lost = LeadershipLost(self.role, self.fencing_token, reason, ended_at_ms)
        return [lost, *(SendMessage(name, release) for name in self.acceptors.names)]

    def change_acceptors(self, acceptors: AcceptorSet) -> None:
        """Applies the next acceptor set. The lease that the previous set granted stays valid until its end.

        Open rounds are dropped, so that replies of two sets are never counted together.
        """
        self.acceptors = acceptors
        self.rounds = {}
        self.acceptor_sequences = {}

    def _start_round(self, now_ms: float) -> list[Effect]:
        """Requests a lease that begins now, and sends the record to each acceptor that may not have it."""
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
            committed_set_version=self.committed_set_version,
            record_epoch_ms=self.record_epoch_ms,
            record=None if has_record else self.record,
        )

    def _handle_reject(self, sender: str, reject: Reject) -> list[Effect]:
        if reject.reason is RejectReason.RECORD_MISSING:
            self.acceptor_sequences.pop(sender, None)
        elif reject.reason in (RejectReason.CLOCK_AHEAD, RejectReason.LEASE_TOO_LONG):
            return [rejection_diagnostic(sender, reject)]
        return []
