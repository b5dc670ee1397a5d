"""Counters of messages, pings and rejected connections of one node."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class ConnectionStatistics:
    """Counts since the start of the process; log lines have them under these names."""

    sent: int = 0  # sent messages of components
    dropped: int = 0  # messages that were not sent, as there was no connection or its buffer was full
    received: int = 0
    unknown_topic: int = 0  # received messages with a topic that no component has registered
    rejected: int = 0  # connections that were rejected at the handshake, or ended by a bad frame or a timeout
    pings: int = 0

    def count_received(self) -> None:
        """Counts a message that is delivered to a component."""
        self.received += 1

    def count_unknown_topic(self) -> None:
        """Counts a message with a topic that no component has registered."""
        self.unknown_topic += 1

    def count_ping(self) -> None:
        """Counts a ping that is sent."""
        self.pings += 1

    def non_zero(self) -> dict[str, int]:
        """Returns the counters that are not zero, by name."""
        return {name: count for name, count in asdict(self).items() if count}
