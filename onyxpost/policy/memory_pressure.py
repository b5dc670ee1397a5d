"""Decides which clients give up what they make a node hold, once its memory runs short."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class HolderState(IntEnum):
    """What a client makes the node hold memory for, in the order in which clients give way.

    Clients whose request waits for its answer never give way, as the answer is owed to them.
    """

    UNREAD_ANSWER = 0  # does not read its answers
    SLOW_REQUEST = 1  # has not completed its request in a usual time
    CLOSING = 2  # was answered for the last time
    ARRIVING_REQUEST = 3  # its request is arriving
    IDLE = 4  # between two requests
    WAITING = 5  # waits for its answer, or reads it


class MemoryHolder(NamedTuple):
    """A client, and what it makes the node hold.

    Attributes:
        client_id: identifies the client.
        state: what the memory is held for.
        held_bytes: the memory that is free once the client has given way.
        since: time in ms since which the client has been in this state.
    """

    client_id: int
    state: HolderState
    held_bytes: int
    since: float


class MemoryPressurePolicy:
    """Selects the clients that give way."""

    # Once the limit is exceeded, memory is released down to this share of it, so that the selection, which
    # looks at all clients, is not repeated for each byte that arrives.
    RELEASE_TO_SHARE = 0.75

    def select(
        self, holders: Iterable[MemoryHolder], used_bytes: int, limit_bytes: int
    ) -> list[MemoryHolder]:
        """Returns the clients that have to give way; none unless `used_bytes` exceeds `limit_bytes`.

        Among clients in the same state, those with the most memory come first, then the longest in it.
        Clients that arrive or rest usually give way only to get below the limit, not further.
        """
        if used_bytes <= limit_bytes:
            return []
        release_to = self.RELEASE_TO_SHARE * limit_bytes
        selected = []
        for holder in sorted(holders, key=_release_order):
            is_usual = holder.state >= HolderState.ARRIVING_REQUEST
            if holder.state is HolderState.WAITING or used_bytes <= (limit_bytes if is_usual else release_to):
                break
            selected.append(holder)
            used_bytes -= holder.held_bytes
        return selected


def _release_order(holder: MemoryHolder) -> tuple[HolderState, int, float]:
    return holder.state, -holder.held_bytes, holder.since
