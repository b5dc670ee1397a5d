"""The client connections of a node, from their acceptance until they are closed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.edge.messages import ClientDisconnected, EdgeEvent
from onyxpost.runtime.transport import UnreadInput

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.edge.client_connection import ClientConnection
    from onyxpost.runtime.transport import Transport

LINGER_MS = 1_000.0  # how long a closing connection is read, so that the client can close its side first


class ClientConnections:
    """Holds the client connections and moves each from open through closing to closed.

    Attributes:
        open: connections that may send requests, by id.
        closing: connections that send no further requests, by id; each still holds its descriptor.
        post_event: receives the event that a client has disconnected.
    """

    def __init__(self, transport: Transport, post_event: Callable[[EdgeEvent], None]) -> None:
        """Creates an empty table."""
        self.open: dict[int, ClientConnection] = {}
        self.closing: dict[int, ClientConnection] = {}
        self.post_event = post_event
        self._transport = transport

    def add(self, connection: ClientConnection) -> None:
        """Adds a newly accepted connection."""
        self.open[connection.connection_id] = connection

    def find(self, connection_id: int) -> ClientConnection | None:
        """Returns the connection with this id, open or closing; None if it is closed."""
        return self.open.get(connection_id) or self.closing.get(connection_id)

    def is_open(self, connection: ClientConnection) -> bool:
        """Returns whether a connection may still send requests."""
        return connection.connection_id in self.open and not connection.is_closing()

    def find_unanswered(self, connection_id: int) -> ClientConnection | None:
        """Returns the open connection with this id if it has an unanswered request, else None."""
        connection = self.open.get(connection_id)
        return connection if connection is not None and connection.has_unanswered_request else None

    def is_waiting(self, connection_id: int) -> bool:
        """Returns whether a client still waits for its answer, and no end of stream from it is unread."""
        connection = self.find_unanswered(connection_id)
        if connection is None or connection.is_closing():
            return False
        return self._transport.unread_input(connection.writer.transport) is not UnreadInput.END

    def begin_closing(self, connection: ClientConnection) -> None:
        """Sends the end of stream; input is then discarded until the client closes or a deadline passes.

        Closing a connection with unread input resets it, which may lose an answer that was just written. A
        request that arrives from now on is discarded: its client sees the end of stream and retries it.
        """
        if self.open.pop(connection.connection_id, None) is None:
            return
        self.closing[connection.connection_id] = connection
        connection.on_closing(self._transport.clock(), LINGER_MS)
        if connection.has_unanswered_request:
            connection.on_request_settled()
            self.post_event(ClientDisconnected(connection.connection_id))
        try:
            connection.writer.write_eof()
        except OSError:  # the client has reset the connection
            connection.writer.transport.abort()

    async def finish_closing(self, connection: ClientConnection) -> None:
        """Closes a connection that was read to its end, and waits until its output has been sent.

        If the client does not read the output, the connection is aborted at its deadline.
        """
        self.begin_closing(connection)
        connection.writer.close()
        try:
            await connection.writer.wait_closed()
        except OSError:
            pass
        finally:
            self.closing.pop(connection.connection_id, None)

    def abort(self, connection: ClientConnection) -> None:
        """Closes a connection in `closing` immediately and frees its descriptor."""
        self.closing.pop(connection.connection_id, None)
        connection.writer.transport.abort()
