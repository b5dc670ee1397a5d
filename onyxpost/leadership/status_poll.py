"""The replies to one status query of a candidate, and their evaluation. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_set import AcceptorSet
    from onyxpost.leadership.protocol import StatusReply


class StatusPoll:
    """Evaluates the replies to one query; ignores acceptors that do not vote yet."""

    def __init__(self, acceptors: AcceptorSet) -> None:
        self._acceptors = acceptors
        self.replies: dict[str, StatusReply] = {}

    def record(self, acceptor: str, reply: StatusReply) -> None:
        """Adds the reply of an acceptor; replaces an earlier one."""
        self.replies[acceptor] = reply

    @property
    def is_complete(self) -> bool:
        """Whether all acceptors have replied, including those that do not vote yet."""
        return len(self.replies) == len(self._acceptors.names)

    @property
    def is_role_free(self) -> bool:
        """Whether a majority of the acceptors votes and reports that the role is free."""
        return sum(left_ms <= 0.0 for left_ms in self._remaining_ms()) >= self._acceptors.majority

    def free_in_ms(self) -> float | None:
        """Returns the time until a majority may report the role as free; None if no majority votes."""
        remaining_ms = self._remaining_ms()
        majority = self._acceptors.majority
        return remaining_ms[majority - 1] if len(remaining_ms) >= majority else None

    def _remaining_ms(self) -> list[float]:
        return sorted(reply.remaining_ms for reply in self.replies.values() if reply.is_voting)
