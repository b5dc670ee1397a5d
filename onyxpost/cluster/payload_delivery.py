"""Delivers received payloads to the components of this node, by topic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.cluster.peer_log import PeerLog
    from onyxpost.cluster.protocol import Payload
    from onyxpost.cluster.statistics import ConnectionStatistics


class PayloadDelivery:
    """Calls `on_message(sender, topic, body)` for payloads whose topic is in `topics`; drops all others."""

    def __init__(
        self,
        on_message: Callable[[str, str, bytes], None],
        statistics: ConnectionStatistics,
        peer_log: PeerLog,
    ) -> None:
        self.topics: set[str] = set()
        self.on_message = on_message
        self._statistics = statistics
        self._peer_log = peer_log

    def deliver(self, sender: str, payload: Payload) -> None:
        """Delivers a payload; logs an exception of its handler and does not raise it."""
        if payload.topic not in self.topics:
            self._statistics.count_unknown_topic()
            return
        self._statistics.count_received()
        try:
            self.on_message(sender, payload.topic, payload.body)
        except Exception as error:
            self._peer_log.log_handler_fault(payload.topic, error)
