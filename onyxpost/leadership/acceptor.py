"""An acceptor of one role: it promises ballots, grants the lease and accepts the record. No I/O.

After a restart an acceptor does not vote until every lease that it may have granted before has ended. This
time is its restart wait. Times are readings of the node's own clock in ms: Unix time at the start of the
process, counted monotonically from then on. docs/leadership.md proves that at most one node leads a role.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from onyxpost.leadership.acceptor_recovery import AcceptorRecovery
from onyxpost.leadership.acceptor_state import AcceptorState
from onyxpost.leadership.ballots import NO_BALLOT, Ballot
from onyxpost.leadership.effects import Diagnostic, DiagnosticKind, Effect, PersistState, SendMessage
from onyxpost.leadership.granted_role_lease import GrantedRoleLease
from onyxpost.leadership.proposal_validation import find_reject_reason
from onyxpost.leadership.protocol import (
    EMPTY_RECORD,
    Accept,
    Accepted,
    Message,
    Prepare,
    Promise,
    RecoveryQuery,
    RecoveryReply,
    Reject,
    RejectReason,
    Release,
    StatusQuery,
    StatusReply,
)

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_set import AcceptorSet
    from onyxpost.leadership.role_lease_timing import RoleLeaseTiming

MAX_REASON_CHARS = 100  # longest reason in a log line that contains the name of a remote node


class Acceptor:
    """Grants the lease of one role and accepts its record.

    `saved` is the state read from the log. It is None after a restart without a log and for an acceptor that
    was just added: the acceptor then has to recover its state from the other acceptors.
    """

    def __init__(
        self,
        now_ms: float,
        node: str,
        role: str,
        timing: RoleLeaseTiming,
        acceptors: AcceptorSet,
        saved: AcceptorState | None = None,
    ) -> None:
        self.node = node
        self.role = role
        self.timing = timing
        self.acceptors = acceptors
        self.is_voting = False
        self.lease = GrantedRoleLease()
        self.promised_at_ms = now_ms - timing.restart_wait_ms  # too long ago to delay a candidate
        self.recovery: AcceptorRecovery | None = None
        if saved is not None:
            self.promised = saved.promised
            self.record = saved.record
            self.record_epoch_ms = saved.record_epoch_ms
            self.committed_set_version = saved.committed_set_version
            self.restart_wait_ends_at_ms = now_ms + timing.acceptor_lease_ms
            return
        # Before its restart this acceptor promised no ballot number more than `skew_ms` above its clock, and
        # the clock was set back by at most `skew_ms` since. So it promised no number above this one.
        self.promised = Ballot(int(now_ms + 2.0 * timing.skew_ms), NO_BALLOT.node, 0)
        self.record = EMPTY_RECORD
        self.record_epoch_ms = 0
        self.committed_set_version = 0
        self.restart_wait_ends_at_ms = now_ms + timing.restart_wait_ms
        self.recovery = AcceptorRecovery(node, role, timing, acceptors, self.restart_wait_ends_at_ms)

    @property
    def is_record_committed(self) -> bool:
        """Whether a majority of the current acceptor set is known to have the record; True if there is none.

        Always False while the acceptor does not vote.
        """
        return self.is_voting and self._state().is_record_committed

    def tick(self, now_ms: float) -> list[Effect]:
        """Ends the restart wait or returns recovery queries, when due. Called about every 50 ms."""
        if self.is_voting or now_ms < self.restart_wait_ends_at_ms:
            return []
        if self.recovery is None:
            return self.start_voting("state read from the log")
        return self.recovery.tick(now_ms)

    def start_voting(self, reason: str) -> list[Effect]:
        """Starts to promise and accept ballots; `reason` is for the log."""
        self.is_voting = True
        self.recovery = None
        ready = Diagnostic(self.role, DiagnosticKind.ACCEPTOR_VOTING, reason)
        return [ready, PersistState(self._state())]

    def handle(self, now_ms: float, sender: str, message: Message) -> list[Effect]:
        """Handles a message of any type and acceptor set version; ignores types not meant for acceptors."""
        if isinstance(message, Prepare | Accept | Release) and message.ballot.node != sender:
            reason = f"ballot of {message.ballot.node} received from {sender}"[:MAX_REASON_CHARS]
            return [Diagnostic(self.role, DiagnosticKind.MESSAGE_DROPPED, reason)]
        if isinstance(message, Prepare | Accept):
            return self._handle_proposal(now_ms, sender, message)
        if message.version != self.acceptors.version:
            return []
        return self._handle_message_of_current_version(now_ms, sender, message)

    def _handle_message_of_current_version(
        self, now_ms: float, sender: str, message: Message
    ) -> list[Effect]:
        match message:
            case StatusQuery():
                return [SendMessage(sender, self._status(now_ms, sender, message.queried_at_ms))]
            case Release():
                self._handle_release(now_ms, message.ballot)
            case RecoveryQuery():
                return [SendMessage(sender, self._recovery_reply(message))]
            case RecoveryReply():
                return self._handle_recovery_reply(now_ms, sender, message)
        return []

    def _handle_proposal(self, now_ms: float, sender: str, message: Prepare | Accept) -> list[Effect]:
        reason = self._reject_reason(now_ms, message)
        if reason is not None:
            return [SendMessage(sender, self._reject(message, reason))]
        if isinstance(message, Prepare):
            return self._promise(now_ms, sender, message)
        return self._accept(now_ms, sender, message)

    def _reject_reason(self, now_ms: float, message: Prepare | Accept) -> RejectReason | None:
        """Returns why the proposal is rejected, or None if it is acceptable."""
        if message.version != self.acceptors.version:
            return RejectReason.OTHER_VERSION
        if not self.is_voting:
            return RejectReason.NOT_VOTING
        return find_reject_reason(now_ms, message, self._state(), self.lease, self.timing)

    def _reject(self, message: Prepare | Accept, reason: RejectReason) -> Reject:
        return Reject(
            role=self.role,
            version=self.acceptors.version,
            ballot=message.ballot,
            round_id=message.round_id if isinstance(message, Accept) else 0,
            reason=reason,
            highest_ballot=self.promised.number,
        )

    def _status(self, now_ms: float, sender: str, queried_at_ms: int) -> StatusReply:
        remaining_ms = self.lease.ends_at_ms - now_ms
        leader = self.lease.ballot.node
        if remaining_ms <= 0.0 and self.promised.node != sender:
            # No lease is active, but another candidate may have a new promise. The role is reported as taken
            # for one response timeout after it, so that they do not keep superseding each other's ballots.
            remaining_ms = self.promised_at_ms + self.timing.response_timeout_ms - now_ms
            leader = ""
        return StatusReply(
            role=self.role,
            version=self.acceptors.version,
            queried_at_ms=queried_at_ms,
            is_voting=self.is_voting,
            remaining_ms=max(0.0, remaining_ms),
            leader=leader if remaining_ms > 0.0 else "",
            highest_ballot=self.promised.number,
        )

    def _promise(self, now_ms: float, sender: str, message: Prepare) -> list[Effect]:
        self.promised = message.ballot
        self.promised_at_ms = now_ms
        promise = Promise(
            role=self.role,
            version=message.version,
            ballot=message.ballot,
            record=self.record,
            record_epoch_ms=self.record_epoch_ms,
        )
        return [PersistState(self._state()), SendMessage(sender, promise)]

    def _accept(self, now_ms: float, sender: str, message: Accept) -> list[Effect]:
        before = self._state()
        number = message.ballot.number
        self.promised = message.ballot
        if message.record is not None and (number, message.sequence) > self.record.recency_key():
            self.record = replace(message.record, ballot_number=number, sequence=message.sequence)
        self.record_epoch_ms = max(self.record_epoch_ms, message.record_epoch_ms)
        self.committed_set_version = max(self.committed_set_version, message.committed_set_version)
        self.lease.grant(message.ballot, now_ms + self.timing.acceptor_lease_ms)
        accepted = Accepted(
            role=self.role,
            version=message.version,
            ballot=message.ballot,
            round_id=message.round_id,
            sequence=message.sequence,
        )
        after = self._state()
        persist = [] if after == before else [PersistState(after)]
        return [*persist, SendMessage(sender, accepted)]

    def _handle_release(self, now_ms: float, ballot: Ballot) -> None:
        if ballot in (self.lease.ballot, self.promised):
            self.lease.release(now_ms, ballot)
            self.promised_at_ms = now_ms - self.timing.restart_wait_ms

    def _recovery_reply(self, query: RecoveryQuery) -> RecoveryReply:
        return RecoveryReply(
            role=self.role,
            version=query.version,
            queried_at_ms=query.queried_at_ms,
            is_voting=self.is_voting,
            record=self.record,
            record_epoch_ms=self.record_epoch_ms,
            committed_set_version=self.committed_set_version,
        )

    def _handle_recovery_reply(self, now_ms: float, sender: str, reply: RecoveryReply) -> list[Effect]:
        recovered = self.recovery.handle_reply(now_ms, sender, reply) if self.recovery is not None else None
        if recovered is None:
            return []
        self.record = recovered.record
        self.record_epoch_ms = recovered.record_epoch_ms
        self.committed_set_version = recovered.committed_set_version
        return self.start_voting(recovered.reason)

    def change_acceptors(self, now_ms: float, acceptors: AcceptorSet) -> None:
        """Applies the next acceptor set and restarts an unfinished recovery with it.

        The caller has checked the set with `membership.validate_transition`.
        """
        self.acceptors = acceptors
        if self.recovery is not None:
            starts_at_ms = max(now_ms, self.restart_wait_ends_at_ms)
            self.recovery = AcceptorRecovery(self.node, self.role, self.timing, acceptors, starts_at_ms)

    def _state(self) -> AcceptorState:
        return AcceptorState(
            role=self.role,
            acceptor_set_version=self.acceptors.version,
            promised=self.promised,
            record=self.record,
            record_epoch_ms=self.record_epoch_ms,
            committed_set_version=self.committed_set_version,
        )
