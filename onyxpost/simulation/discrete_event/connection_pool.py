"""Pool of the idle connections of a node to app servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.event_queue import EventQueue
    from onyxpost.simulation.discrete_event.server_model import ServerModel

# Idle connections are not reused after this fraction of the servers' keep-alive time: a server might close
# the connection while a request is on its way.
MAX_IDLE_FRACTION = 0.75


class ConnectionPool:
    """Idle connections; the most recently used connection to a server is reused first.

    Attributes:
        opened: number of connections that the node opened, in all its incarnations.
    """

    def __init__(self, clock: EventQueue, endpoints: dict[str, ServerModel], keep_alive_ms: float) -> None:
        """Creates an empty pool.

        Args:
            clock: the simulated clock.
            endpoints: servers that the node knows, by id; updated in place by the node.
            keep_alive_ms: time after which servers close an idle connection.
        """
        self._clock = clock
        self._endpoints = endpoints
        self._max_idle_ms = MAX_IDLE_FRACTION * keep_alive_ms
        self._idle_since: dict[str, list[float]] = {}  # by server id; times in ms, the oldest first
        self.opened = 0

    def idle_count(self, server_id: str) -> int:
        """Returns the number of idle connections to a server."""
        return len(self._idle_since.get(server_id, ()))

    def acquire(self, server: ServerModel) -> bool:
        """Takes the most recently used idle connection; returns False if there is no usable one.

        If that connection has expired, all others to the server have too, and all are closed.
        """
        idle_since = self._idle_since.get(server.server_id)
        if not idle_since:
            return False
        oldest_usable_ms = self._clock.now_ms - self._max_idle_ms
        newest = idle_since.pop()
        if newest >= oldest_usable_ms and server.is_alive:
            return True
        if server.is_alive:
            server.connections -= len(idle_since) + 1
        idle_since.clear()
        return False

    def release(self, server: ServerModel) -> None:
        """Returns a connection to the pool, or closes it if the node no longer knows the server."""
        if not server.is_alive:
            return
        if server.server_id in self._endpoints:
            self._idle_since.setdefault(server.server_id, []).append(self._clock.now_ms)
        elif server.connections:
            server.connections -= 1

    def close_expired(self) -> None:
        """Closes connections that have been idle for longer than the maximum."""
        oldest_usable_ms = self._clock.now_ms - self._max_idle_ms
        for server_id, idle_since in list(self._idle_since.items()):
            usable = [since for since in idle_since if since >= oldest_usable_ms]
            server = self._endpoints.get(server_id)
            if server is not None and server.is_alive:
                server.connections -= len(idle_since) - len(usable)
            if usable:
                self._idle_since[server_id] = usable
            else:
                del self._idle_since[server_id]

    def close_all(self) -> None:
        """Closes all idle connections."""
        for server_id, idle_since in self._idle_since.items():
            server = self._endpoints.get(server_id)
            if server is not None and server.is_alive:
                server.connections -= len(idle_since)
        self._idle_since = {}

    def remove_server(self, server_id: str) -> None:
        """Removes the connections to a server that died or is gone."""
        self._idle_since.pop(server_id, None)
