"""Limits the memory that incomplete request bodies of all clients take together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.edge.client_connection import ClientConnection
    from onyxpost.edge.client_connections import ClientConnections

MEMORY_SHARE = 0.125  # share of the node's memory for incomplete bodies
BYTES_PER_MB = 1024 * 1024
DEFAULT_MEMORY_MB = 192.0
# Shorter bodies are neither counted nor rejected; all clients together cannot take much memory with them.
MIN_COUNTED_BYTES = 4096


class BodyBudget:
    """Finds the client that has to be rejected when incomplete bodies exceed their share of the memory."""

    def __init__(self, connections: ClientConnections, memory_mb: float) -> None:
        """Creates the budget of a node that may use `memory_mb` of memory."""
        self._connections = connections
        self._max_bytes = MEMORY_SHARE * memory_mb * BYTES_PER_MB

    def find_connection_to_reject(self, growing: ClientConnection) -> ClientConnection | None:
        """Returns the connection whose incomplete request is the oldest, if the bodies exceed the budget.

        Args:
            growing: a connection whose body has just grown.
        """
        if len(growing.body) < MIN_COUNTED_BYTES:
            return None
        counted = [
            connection
            for connection in self._connections.open.values()
            if connection.has_partial_request and len(connection.body) >= MIN_COUNTED_BYTES
        ]
        if sum(len(connection.body) for connection in counted) <= self._max_bytes:
            return None
        return min(counted, key=lambda connection: connection.waiting_since)
