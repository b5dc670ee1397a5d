"""Rate limit of the messages that a node receives from its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.event_queue import EventQueue


class MessageRateLimit:
    """Drops messages beyond a maximum per second, over a sliding window of one second.

    Attributes:
        dropped: number of messages dropped so far.
    """

    def __init__(self, clock: EventQueue, max_messages_per_second: float) -> None:
        self._clock = clock
        self._max_messages_per_second = max_messages_per_second
        self._received_at_ms: list[float] = []
        self.dropped = 0

    def accept(self) -> bool:
        """Counts a message that arrives now; returns False if it is dropped."""
        now_ms = self._clock.now_ms
        window_start_ms = now_ms - MS_PER_SECOND
        self._received_at_ms = [
            received_at for received_at in self._received_at_ms if received_at > window_start_ms
        ]
        if len(self._received_at_ms) >= self._max_messages_per_second:
            self.dropped += 1
            return False
        self._received_at_ms.append(now_ms)
        return True
