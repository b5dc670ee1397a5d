"""Counters of the connections of one node."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class ConnectionStatistics:
    """Counts since the start of the process."""

    sent: int = 0  # messages
    dropped: int = 0  # messages without a connection, or with a full buffer
    received: int = 0
    unknown_topic: int = 0  # messages received for a topic that no component registered
    rejected: int = 0  # connections: at their hello, or ended by a malformed frame or a timeout
    pings: int = 0

    def count_received(self) -> None:
        """Counts a message that is delivered."""
        self.received += 1

    def count_unknown_topic(self) -> None:
        """Counts a message that no component of this node receives."""
        self.unknown_topic += 1

    def count_ping(self) -> None:
        """Counts a ping that is sent."""
        self.pings += 1

    def non_zero(self) -> dict[str, int]:
        """Returns the counters that have counted something, for the log."""
        return {name: count for name, count in asdict(self).items() if count}
