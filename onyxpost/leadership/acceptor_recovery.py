"""Recovery of an acceptor that restarted without state: after its restart wait it queries the others. No I/O.

A committed write was accepted by a majority, so at most `acceptors - majority` acceptors lack it. Of
`required_replies` acceptors with state, which is one more, at least one has it.

Replies to queries sent before the end of the restart wait do not count. Until then, a message in which this
acceptor accepted a write before its restart may still be on its way to the leader. It could complete the
majority for a write that the acceptors which replied had not accepted when they replied.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.leadership.effects import Effect, SendMessage
from onyxpost.leadership.protocol import EMPTY_RECORD, Record, RecoveryQuery, RecoveryReply

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_set import AcceptorSet
    from onyxpost.leadership.role_lease_timing import RoleLeaseTiming

# When a majority has lost its state, the acceptor waits for the replies of all others, but no longer than
# this many further restart waits.
INCOMPLETE_RECOVERY_WAITS = 2.0


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """The state with which the acceptor starts to vote; `reason` is for the log."""

    record: Record
    record_epoch_ms: int
    committed_set_version: int
    reason: str


class AcceptorRecovery:
    """Queries the other acceptors from `starts_at_ms` on, until enough of them have replied."""

    def __init__(
        self, node: str, role: str, timing: RoleLeaseTiming, acceptors: AcceptorSet, starts_at_ms: float
    ) -> None:
        self.node = node
        self.role = role
        self.timing = timing
        self.acceptors = acceptors
        self.starts_at_ms = starts_at_ms
        self.next_query_at_ms = starts_at_ms
        self.replies: dict[str, RecoveryReply] = {}

    @property
    def required_replies(self) -> int:
        """The number of acceptors with state that must reply: enough to include one that has each write."""
        return len(self.acceptors.names) - self.acceptors.majority + 1

    def tick(self, now_ms: float) -> list[Effect]:
        """Returns queries to all other acceptors, once per response timeout."""
        if now_ms < self.next_query_at_ms:
            return []
        self.next_query_at_ms = now_ms + self.timing.response_timeout_ms
        # Rounded up, because `handle_reply` counts only queries that are later than `starts_at_ms`.
        query = RecoveryQuery(role=self.role, version=self.acceptors.version, queried_at_ms=int(now_ms) + 1)
        return [SendMessage(name, query) for name in self.acceptors.names if name != self.node]

    def handle_reply(self, now_ms: float, sender: str, reply: RecoveryReply) -> RecoveredState | None:
        """Returns the recovered state, or None while there are too few replies.

        A reply repeats the time of its query by this node's clock. Queries from before the restart are
        recognized by their earlier time.
        """
        is_other_acceptor = sender in self.acceptors.names and sender != self.node
        if not is_other_acceptor or reply.queried_at_ms <= self.starts_at_ms:
            return None
        last = self.replies.get(sender)
        if last is None or reply.queried_at_ms >= last.queried_at_ms:
            self.replies[sender] = reply
        replies_with_state = [received for received in self.replies.values() if received.is_voting]
        if len(replies_with_state) >= self.required_replies:
            return _newest_state(replies_with_state, 0, "state recovered from other acceptors")
        acceptors_without_state = 1 + len(self.replies) - len(replies_with_state)
        if acceptors_without_state < self.acceptors.majority:
            return None
        have_all_replied = len(self.replies) == len(self.acceptors.names) - 1
        if not have_all_replied and now_ms < self._incomplete_recovery_at_ms():
            return None
        return _newest_state(
            replies_with_state,
            int(now_ms),
            "a majority of acceptors lost its state; committed records may be missing",
        )

    def _incomplete_recovery_at_ms(self) -> float:
        return self.starts_at_ms + INCOMPLETE_RECOVERY_WAITS * self.timing.restart_wait_ms


def _newest_state(replies: list[RecoveryReply], record_epoch_ms: int, reason: str) -> RecoveredState:
    """Returns the newest state in the replies.

    `record_epoch_ms` is the current time if committed records may be lost, else 0.
    """
    records = (reply.record for reply in replies)
    return RecoveredState(
        record=max(records, key=Record.recency_key, default=EMPTY_RECORD),
        record_epoch_ms=max([record_epoch_ms, *(reply.record_epoch_ms for reply in replies)]),
        committed_set_version=max([0, *(reply.committed_set_version for reply in replies)]),
        reason=reason,
    )
