"""The history of a run of the leadership model, and the invariants on the history.

Fencing tokens increase with each lease. A new leader reads the latest committed record. The fenced resource
accepts no fencing token that is lower than one that it accepted before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from onyxpost.leadership.effects import LeadershipAcquired, RecordCommitted


class CommittedRecord(NamedTuple):
    """A committed record, which later leaders must read; ordered by sequence number."""

    sequence: int
    body: bytes


NO_RECORD = CommittedRecord(0, b"")


class LeadershipHistory:
    """History variables of the model.

    Attributes:
        latest_token: The fencing token of the latest lease.
        committed: The latest committed record, or `NO_RECORD`.
        written: Bodies of all written records, by fencing token and sequence number.
        accepted_tokens: Fencing tokens that the resource accepted, without consecutive repetitions.
        rejected_calls: Number of calls that the resource rejected.
        violation: A description of the latest violation; None if there is none.
    """

    def __init__(self) -> None:
        self.latest_token = 0
        self.committed = NO_RECORD
        self.written: dict[tuple[int, int], bytes] = {}
        self.accepted_tokens: list[int] = []
        self.rejected_calls = 0
        self.violation: str | None = None

    def record_write(self, fencing_token: int, sequence: int, body: bytes) -> None:
        """Records that a leader has proposed a record."""
        self.written[fencing_token, sequence] = body

    def record_commit(self, effect: RecordCommitted) -> None:
        """Records that a leader has learned that its record is committed."""
        body = self.written[effect.fencing_token, effect.sequence]
        self.committed = max(self.committed, CommittedRecord(effect.sequence, body))

    def record_state_lost(self) -> None:
        """Records that no majority of the acceptors has its state, so that the record may be lost."""
        self.committed = NO_RECORD

    def record_lease(self, effect: LeadershipAcquired) -> None:
        """Records that a candidate has acquired the lease; checks its token and the record that it read."""
        if effect.fencing_token <= self.latest_token:
            self.violation = f"token {effect.fencing_token} granted after {self.latest_token}"
        self.latest_token = effect.fencing_token
        sequence = self.committed.sequence
        is_older = effect.record.sequence < sequence
        has_other_body = effect.record.sequence == sequence and effect.record.body != self.committed.body
        if is_older or has_other_body:
            self.violation = f"committed record {sequence} lost: {effect.record.sequence} was read"

    def record_call(self, fencing_token: int, *, checks_tokens: bool) -> None:
        """Records a call to the resource, which rejects a token that is too low if it `checks_tokens`."""
        highest_token = self.accepted_tokens[-1] if self.accepted_tokens else fencing_token
        if fencing_token < highest_token:
            if checks_tokens:
                self.rejected_calls += 1
                return
            self.violation = f"call with token {fencing_token} accepted after {highest_token}"
        if not self.accepted_tokens or highest_token != fencing_token:
            self.accepted_tokens.append(fencing_token)
