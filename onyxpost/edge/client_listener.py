"""Accepts clients' connections, reads them, and decides when each is closed."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from onyxpost.edge.client_connection import ClientConnection, eviction_candidates, idle_connections
from onyxpost.edge.client_http import ClientHttp
from onyxpost.edge.messages import ClientDisconnected, EdgeEvent, SendAnswer
from onyxpost.runtime.http1 import limit_read_size
from onyxpost.runtime.transport import Unread, stop_accepting

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.config.deployment import Deployment
    from onyxpost.runtime.transport import CountingReader, Listener, Transport

READ_BUFFER_BYTES = 16384  # read from a client's stream at once, and the limit of what is buffered of it
# Turns of the event loop that an accepted connection is given to reach its first read: the transport, its
# protocol and the reading task take one each, the rest is margin.
ACCEPT_TURNS = 8
LINGER_MS = 1_000.0  # how long a closing connection is still read, for its client to close first
SHUTDOWN_LINGER_MS = 250.0  # the same when the node itself stops
GRACE_FOR_REQUEST_MS = 100.0  # a connection that sends no complete request for longer may be evicted
MAX_REJECTED_CONNECTIONS = 16  # connections beyond the node's capacity that still get a rejection
MAX_ACCEPTS_PER_TURN = 16  # per event loop turn; more could exceed the node's limit before they are counted
CLOSE_POLL_SECONDS = 0.01  # between checks whether all connections have closed


class ClientListener:
    """Listens for clients and holds their connections.

    Attributes:
        open_connections: those that may send requests, by id.
        closing_connections: those whose last answer has been sent; each still holds its descriptor.
        accepted_count: how many were accepted and read, which is also the id of the last one.
        has_capacity: returns whether one more client may be served.
        server: the listening socket.
    """

    def __init__(
        self,
        deployment: Deployment,
        transport: Transport,
        post: Callable[[EdgeEvent], None],
        is_ready: Callable[[], bool],
        has_capacity: Callable[[], bool],
        report_fault: Callable[[str, BaseException], None],
    ) -> None:
        self.post = post
        self.has_capacity = has_capacity
        self.open_connections: dict[int, ClientConnection] = {}
        self.closing_connections: dict[int, ClientConnection] = {}
        self.accepted_count = 0
        self.server: Listener | None = None
        self._transport = transport
        self._clock = transport.clock
        self._report_fault = report_fault
        self._http = ClientHttp(deployment, transport.clock, post, is_ready, self._begin_closing)
        self._over_capacity_count = 0
        self._reject_incomplete_at = math.inf  # ms, from when on incomplete requests are rejected

    async def listen(self, address: Address) -> None:
        """Starts to accept connections. Raises ListenError."""
        self.server = await self._transport.listen(
            self._serve, address, READ_BUFFER_BYTES, MAX_ACCEPTS_PER_TURN
        )

    def begin_shutdown(self) -> None:
        """Makes each further answer close its connection, and closes those that are idle."""
        self._http.is_shutting_down = True
        self.close_idle()

    async def stop_accepting(self) -> None:
        """Stops accepting, once all connections in the queue have been accepted.

        Closing the listener resets the connections in the kernel's queue, which may be more than the event
        loop accepts in one turn. Those accepted in the current turn are not in `open_connections` yet.
        """
        accepted_before = -1
        deadline = self._clock() + GRACE_FOR_REQUEST_MS
        while accepted_before != self.accepted_count and self._clock() < deadline:
            accepted_before = self.accepted_count
            await _yield_to_accepts()
        if self.server is not None:
            stop_accepting(self.server)
        await _yield_to_accepts()
        self.close_listener()
        self._reject_incomplete_at = self._clock() + GRACE_FOR_REQUEST_MS

    def close_listener(self) -> None:
        """Closes the listening socket."""
        if self.server is not None:
            self.server.close()

    def is_waiting(self, connection_id: int) -> bool:
        """Returns whether a client still waits for its answer: no end of stream is in its socket either."""
        connection = self.open_connections.get(connection_id)
        if connection is None or not connection.awaits_answer or connection.is_closing():
            return False
        return self._transport.unread(connection.writer.transport) is not Unread.END

    def send_answer(self, answer: SendAnswer) -> None:
        """Sends an answer, unless its client has disconnected."""
        connection = self.open_connections.get(answer.connection_id)
        if connection is not None and connection.awaits_answer:
            self._http.send_answer(connection, answer)

    def close_idle(self) -> None:
        """Closes connections during a shutdown: idle ones at once, later those without a complete request.

        What has arrived, read or not, is still answered. Connections that stayed open would bring further
        requests, and a late one could be unanswered when the node is killed.
        """
        for connection in idle_connections(self.open_connections.values()):
            if connection.has_no_unread_input(self._transport):
                self._begin_closing(connection)
        if self._clock() >= self._reject_incomplete_at:
            for connection in [c for c in self.open_connections.values() if not c.awaits_answer]:
                if connection.request_started:
                    self._http.reject_overloaded(connection)
                elif connection.has_no_unread_input(self._transport):
                    self._begin_closing(connection)

    def evict_connection(self) -> bool:
        """Closes one connection that is slow to send a request, or else idle; returns whether it did."""
        latest = self._clock() - GRACE_FOR_REQUEST_MS
        candidates = eviction_candidates(self.open_connections.values(), latest)
        evicted = next(
            (connection for connection in candidates if connection.has_no_unread_input(self._transport)), None
        )
        if evicted is None:
            return False
        if evicted.request_started:
            self._http.reject_overloaded(evicted)
        else:
            self._begin_closing(evicted)
        return True

    def abort_oldest_closing(self) -> bool:
        """Frees the descriptor of the connection that has been closing for longest, if there is one."""
        closing = self.closing_connections.values()
        oldest = next((connection for connection in closing if not connection.unsent_bytes()), None)
        if oldest is not None:
            self._abort(oldest)
        return oldest is not None

    def close_expired(self) -> None:
        """Closes connections past their deadline; unread input extends it: the node may have stalled."""
        now = self._clock()
        for connection in [c for c in self.closing_connections.values() if now > c.deadline]:
            if connection.grace_given or connection.has_no_unread_input(self._transport):
                self._abort(connection)
            else:
                connection.grace_given = True
                connection.deadline = now + LINGER_MS
        expired = [
            c
            for c in self.open_connections.values()
            if now > c.deadline and c.has_no_unread_input(self._transport)
        ]
        for connection in expired:
            if connection.request_started:
                self._http.reject_late(connection)
            else:
                self._begin_closing(connection)

    async def close(self) -> None:
        """Closes all connections, once what is still to be written has been sent."""
        for connection in list(self.open_connections.values()):
            self._begin_closing(connection)
        deadline = self._clock() + SHUTDOWN_LINGER_MS
        for connection in [c for c in self.closing_connections.values() if not c.unsent_bytes()]:
            connection.deadline = min(connection.deadline, deadline)
        while self.closing_connections:
            self.close_expired()
            await asyncio.sleep(CLOSE_POLL_SECONDS)

    async def _serve(self, reader: CountingReader, writer: asyncio.StreamWriter) -> None:
        has_capacity = self.has_capacity()
        if not has_capacity and self._over_capacity_count >= MAX_REJECTED_CONNECTIONS:
            writer.transport.abort()
            return
        limit_read_size(writer, READ_BUFFER_BYTES)
        self.accepted_count += 1
        connection = ClientConnection(self.accepted_count, reader, writer, self._clock())
        self.open_connections[connection.connection_id] = connection
        connection.is_over_capacity = not has_capacity
        self._over_capacity_count += connection.is_over_capacity
        try:
            await self._read(connection)
        except OSError:
            pass
        except Exception as err:
            self._report_fault("client", err)
        finally:
            await self._finish_closing(connection)

    async def _read(self, connection: ClientConnection) -> None:
        """Reads until the end of the stream."""
        while not connection.is_closing() and (data := await connection.reader.read(READ_BUFFER_BYTES)):
            connection.bytes_read += len(data)
            # What is read after our end of stream is discarded: it could not be answered.
            if connection.connection_id in self.open_connections and not connection.is_closing():
                self._http.handle_bytes(connection, data)
        is_open = connection.connection_id in self.open_connections
        if is_open and not connection.awaits_answer and not connection.is_closing():
            self._http.handle_end_of_stream(connection)

    def _begin_closing(self, connection: ClientConnection) -> None:
        """Sends the end of stream, then reads and discards input until the client's end or a deadline.

        A connection closed with unread input is reset, and an answer just written may be lost with it. A
        request that arrives from now on is discarded: its client sees the end of stream and sends it again.
        """
        if self.open_connections.pop(connection.connection_id, None) is None:
            return
        self.closing_connections[connection.connection_id] = connection
        connection.on_closing(self._clock(), LINGER_MS)
        if connection.awaits_answer:
            connection.awaits_answer = False
            self.post(ClientDisconnected(connection.connection_id))
        try:
            connection.writer.write_eof()
        except OSError:  # reset in the meantime
            connection.writer.transport.abort()

    async def _finish_closing(self, connection: ClientConnection) -> None:
        """Closes a connection that was read to its end; `close_expired` aborts it if it takes no output."""
        self._begin_closing(connection)
        connection.writer.close()
        try:
            await connection.writer.wait_closed()
        except OSError:
            pass
        finally:
            self._over_capacity_count -= connection.is_over_capacity
            self.closing_connections.pop(connection.connection_id, None)

    def _abort(self, connection: ClientConnection) -> None:
        self.closing_connections.pop(connection.connection_id, None)
        connection.writer.transport.abort()


async def _yield_to_accepts() -> None:
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
