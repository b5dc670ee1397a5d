"""What happened in a run of the leadership model, and the invariants on it.

Invariants: fencing tokens grow; a new leader reads the latest committed record; the fenced resource accepts
no token lower than one that it accepted before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from onyxpost.leadership.effects import LeaseAcquired, RecordCommitted


class CommittedRecord(NamedTuple):
    """The record that must not be lost."""

    sequence: int
    body: bytes


NO_RECORD = CommittedRecord(0, b"")


class LeadershipHistory:
    """History variables of the model.

    Attributes:
        latest_token: The fencing token of the latest lease.
        committed: The latest committed record.
        written: Bodies of all records that were written, by fencing token and sequence number.
        accepted_tokens: Fencing tokens that the resource accepted, without repetitions in a row.
        rejected_calls: Number of calls that the resource rejected.
        violation: The latest violation; None if there is none.
    """

    def __init__(self) -> None:
        self.latest_token = 0
        self.committed = NO_RECORD
        self.written: dict[tuple[int, int], bytes] = {}
        self.accepted_tokens: list[int] = []
        self.rejected_calls = 0
        self.violation: str | None = None

    def record_write(self, fencing_token: int, sequence: int, body: bytes) -> None:
        """A leader proposed a record."""
        self.written[fencing_token, sequence] = body

    def record_commit(self, effect: RecordCommitted) -> None:
        """A leader learned that its record is committed."""
        body = self.written[effect.fencing_token, effect.sequence]
        self.committed = max(self.committed, CommittedRecord(effect.sequence, body))

    def record_state_lost(self) -> None:
        """A majority of the acceptors lost its state, and with it the record, which is allowed."""
        self.committed = NO_RECORD

    def record_lease(self, effect: LeaseAcquired) -> None:
        """A candidate acquired the lease."""
        if effect.fencing_token <= self.latest_token:
            self.violation = f"token {effect.fencing_token} granted after {self.latest_token}"
        self.latest_token = effect.fencing_token
        sequence = self.committed.sequence
        is_older = effect.record.sequence < sequence
        is_other = effect.record.sequence == sequence and effect.record.body != self.committed.body
        if is_older or is_other:
            self.violation = f"committed record {sequence} lost: {effect.record.sequence} was read"

    def record_call(self, fencing_token: int, *, checks_tokens: bool) -> None:
        """A call reached the resource, which rejects a lower token if it `checks_tokens`."""
        highest_token = self.accepted_tokens[-1] if self.accepted_tokens else fencing_token
        if fencing_token < highest_token:
            if checks_tokens:
                self.rejected_calls += 1
                return
            self.violation = f"call with token {fencing_token} accepted after {highest_token}"
        if not self.accepted_tokens or highest_token != fencing_token:
            self.accepted_tokens.append(fencing_token)
