"""Closes client connections early to free their descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.edge.client_connection import INCOMPLETE_REQUEST_GRACE_MS, idle_connections

if TYPE_CHECKING:
    from collections.abc import Collection

    from onyxpost.edge.client_connection import ClientConnection
    from onyxpost.edge.client_connections import ClientConnections
    from onyxpost.edge.client_http import ClientHttp
    from onyxpost.runtime.transport import Transport


class ClientEviction:
    """Closes a client connection before its deadline, so that another connection can be opened."""

    def __init__(self, transport: Transport, connections: ClientConnections, http: ClientHttp) -> None:
        """Creates the eviction for the connections of a node."""
        self._transport = transport
        self._connections = connections
        self._http = http

    def evict_connection(self) -> bool:
        """Closes one connection with an incomplete request, or else an idle one.

        Returns:
            Whether a connection was closed.
        """
        expected_before = self._transport.clock() - INCOMPLETE_REQUEST_GRACE_MS
        candidates = eviction_candidates(self._connections.open.values(), expected_before)
        evicted = next(
            (connection for connection in candidates if connection.is_input_read(self._transport)), None
        )
        if evicted is None:
            return False
        if evicted.has_partial_request:
            self._http.reject_overloaded(evicted)
        else:
            self._connections.begin_closing(evicted)
        return True

    def abort_oldest_closing(self) -> bool:
        """Aborts the oldest closing connection whose answers have all been sent.

        Returns:
            Whether there was one.
        """
        closing = self._connections.closing.values()
        oldest = next((connection for connection in closing if not connection.unsent_bytes()), None)
        if oldest is not None:
            self._connections.abort(oldest)
        return oldest is not None


def eviction_candidates(connections: Collection[ClientConnection], time: float) -> list[ClientConnection]:
    """Returns the connections that may be closed to free a descriptor, in order of preference.

    Connections whose request has been expected since before `time` (ms) and is incomplete come first, then
    idle connections.
    """
    slow = [connection for connection in connections if connection.is_request_awaited_since(time)]
    slow.sort(key=lambda connection: connection.waiting_since)
    return [*slow, *idle_connections(connections)]
