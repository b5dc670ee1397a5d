"""Closes client connections that have passed their deadline, and all of them when the node stops."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from onyxpost.edge.client_connection import INCOMPLETE_REQUEST_GRACE_MS, idle_connections
from onyxpost.edge.client_connections import LINGER_MS

if TYPE_CHECKING:
    from onyxpost.edge.client_connections import ClientConnections
    from onyxpost.edge.client_http import ClientHttp
    from onyxpost.runtime.transport import Transport

SHUTDOWN_LINGER_MS = 250.0  # replaces `LINGER_MS` while the node stops
CLOSE_POLL_SECONDS = 0.01  # interval of the check whether all connections have closed


class ClientCloser:
    """Closes client connections at their deadlines and during a shutdown."""

    def __init__(self, transport: Transport, connections: ClientConnections, http: ClientHttp) -> None:
        """Creates the closer of a node that is not shutting down."""
        self._transport = transport
        self._clock = transport.clock
        self._connections = connections
        self._http = http
        self._reject_incomplete_at = math.inf  # time in ms from which incomplete requests are rejected

    def begin_shutdown(self) -> None:
        """Makes each further answer close its connection, and closes the idle connections."""
        self._http.begin_shutdown()
        self.close_idle()

    def on_accepting_stopped(self) -> None:
        """Starts the grace period for incomplete requests, after which `close_idle` rejects them."""
        self._reject_incomplete_at = self._clock() + INCOMPLETE_REQUEST_GRACE_MS

    def close_idle(self) -> None:
        """Closes idle connections and, after the grace period, those without a complete request.

        Called repeatedly during a shutdown. Requests that have arrived are still answered, even if they have
        not been read yet. A connection left open could bring a late request, which would be unanswered when
        the node is killed.
        """
        for connection in idle_connections(self._connections.open.values()):
            if connection.is_input_read(self._transport):
                self._connections.begin_closing(connection)
        if self._clock() >= self._reject_incomplete_at:
            self._close_incomplete()

    def _close_incomplete(self) -> None:
        for connection in [c for c in self._connections.open.values() if not c.has_unanswered_request]:
            if connection.has_partial_request:
                self._http.reject_overloaded(connection)
            elif connection.is_input_read(self._transport):
                self._connections.begin_closing(connection)

    def close_expired(self) -> None:
        """Closes connections past their deadline.

        Connections with unread input are kept, as this node may have stalled. A connection that is already
        closing gets one extension of its deadline for this reason.
        """
        now = self._clock()
        for connection in [c for c in self._connections.closing.values() if now > c.deadline]:
            if connection.is_deadline_extended or connection.is_input_read(self._transport):
                self._connections.abort(connection)
            else:
                connection.extend_deadline(now + LINGER_MS)
        expired = [
            connection
            for connection in self._connections.open.values()
            if now > connection.deadline and connection.is_input_read(self._transport)
        ]
        for connection in expired:
            if connection.has_partial_request:
                self._http.reject_timed_out(connection)
            else:
                self._connections.begin_closing(connection)

    async def close_all(self) -> None:
        """Closes all connections after the remaining output has been sent, or at their deadlines."""
        for connection in list(self._connections.open.values()):
            self._connections.begin_closing(connection)
        deadline = self._clock() + SHUTDOWN_LINGER_MS
        for connection in [c for c in self._connections.closing.values() if not c.unsent_bytes()]:
            connection.limit_deadline(deadline)
        while self._connections.closing:
            self.close_expired()
            await asyncio.sleep(CLOSE_POLL_SECONDS)
