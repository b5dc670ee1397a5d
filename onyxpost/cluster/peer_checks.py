"""The periodic check of all other members, which sends heartbeats and detects timeouts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.cluster.errors import ClusterError, PeerTimeoutError
from onyxpost.cluster.protocol import Ping

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from onyxpost.cluster.connection import PeerConnection
    from onyxpost.cluster.peer_log import PeerLog
    from onyxpost.cluster.peer_monitor import PeerMonitor
    from onyxpost.cluster.statistics import ConnectionStatistics
    from onyxpost.runtime.transport import Transport

CHECK_INTERVAL_SECONDS = 0.1  # one fifth of a heartbeat interval
STATISTICS_INTERVAL_MS = 10_000.0


class PeerChecker:
    """Sends the pings that the failure detectors request, aborts timed-out connections, logs statistics."""

    def __init__(
        self,
        network: Transport,
        established: Mapping[str, PeerConnection],
        monitor: PeerMonitor,
        statistics: ConnectionStatistics,
        peer_log: PeerLog,
        on_rejected: Callable[[ClusterError], None],
    ) -> None:
        self._network = network
        self._established = established
        self._monitor = monitor
        self._statistics = statistics
        self._peer_log = peer_log
        self._on_rejected = on_rejected

    async def run(self) -> None:
        """Checks all peers every `CHECK_INTERVAL_SECONDS` until the task is cancelled."""
        logged_at_ms = self._network.clock()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now_ms = self._network.clock()
            for name in list(self._monitor.detectors):
                self._check_peer(name, now_ms)
            if now_ms - logged_at_ms >= STATISTICS_INTERVAL_MS:
                logged_at_ms = now_ms
                self._peer_log.log_statistics(self._monitor.count_by_state() | self._statistics.non_zero())

    def _check_peer(self, name: str, now_ms: float) -> None:
        result = self._monitor.check(name, now_ms)
        connection = self._established.get(name)
        if connection is None:
            return
        if result.abort_reason is not None:
            self._on_rejected(PeerTimeoutError(result.abort_reason, name))
            connection.abort(result.abort_reason)
        elif result.ping_number is not None:
            self._statistics.count_ping()
            connection.send(Ping(result.ping_number))  # dropped if the buffer is full, and then not answered
