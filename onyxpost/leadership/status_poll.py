"""One status query of a candidate: the acceptors' replies, and whether the role is free by them. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.leadership.membership import AcceptorSet
    from onyxpost.leadership.protocol import StatusReply


class StatusPoll:
    """The replies to one query, by acceptor; those of acceptors that do not vote yet count for nothing."""

    def __init__(self, acceptors: AcceptorSet) -> None:
        self._acceptors = acceptors
        self.replies: dict[str, StatusReply] = {}

    def record(self, acceptor: str, reply: StatusReply) -> None:
        """Keeps the reply of an acceptor."""
        self.replies[acceptor] = reply

    @property
    def is_complete(self) -> bool:
        """Whether every acceptor has replied."""
        return len(self.replies) == len(self._acceptors.names)

    @property
    def is_role_free(self) -> bool:
        """Whether a majority says that no lease runs."""
        return sum(left_ms <= 0.0 for left_ms in self._remaining_ms()) >= self._acceptors.majority

    def free_in_ms(self) -> float | None:
        """Time until a majority's leases may be over; None without the votes of a majority."""
        remaining_ms = self._remaining_ms()
        majority = self._acceptors.majority
        return remaining_ms[majority - 1] if len(remaining_ms) >= majority else None

    def _remaining_ms(self) -> list[float]:
        return sorted(reply.remaining_ms for reply in self.replies.values() if reply.is_voting)
