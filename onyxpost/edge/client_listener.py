"""Accepts client connections and reads their input."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.edge.client_connection import INCOMPLETE_REQUEST_GRACE_MS, ClientConnection
from onyxpost.runtime.http1 import limit_read_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.edge.client_connections import ClientConnections
    from onyxpost.edge.client_http import ClientHttp
    from onyxpost.edge.client_memory import ClientMemory
    from onyxpost.runtime.transport import ByteCountingReader, Listener, Transport

READ_BUFFER_BYTES = 4096  # limit of one read from a client, and of the input buffered for each client
# Turns of the event loop within which an accepted connection reaches its first read. The transport, its
# protocol and the reading task take one turn each; the other turns are a margin.
ACCEPT_TURNS = 8
MAX_OVER_CAPACITY_CONNECTIONS = 16  # open connections beyond the node's capacity; further ones are aborted
# Connections accepted per turn of the event loop; more could exceed the node's limit before they are counted.
MAX_ACCEPTS_PER_TURN = 16


class ClientListener:
    """Listens for clients, and reads each connection to its end.

    Attributes:
        accepted_count: number of connections accepted and read; also the id of the latest one.
        has_capacity: returns whether one more client may be served.
        server: the listening socket; None until `listen` is called.
    """

    def __init__(
        self,
        transport: Transport,
        connections: ClientConnections,
        http: ClientHttp,
        memory: ClientMemory,
        has_capacity: Callable[[], bool],
        report_fault: Callable[[str, BaseException], None],
    ) -> None:
        """Creates a listener that does not listen yet.

        Args:
            transport: the node's transport.
            connections: the table to which accepted connections are added.
            http: receives the input of each connection.
            memory: accounts for what each connection makes the node hold.
            has_capacity: returns whether one more client may be served.
            report_fault: logs an unexpected exception.
        """
        self.has_capacity = has_capacity
        self.accepted_count = 0
        self.server: Listener | None = None
        self._transport = transport
        self._clock = transport.clock
        self._connections = connections
        self._http = http
        self._memory = memory
        self._report_fault = report_fault
        self._over_capacity_count = 0
        self._decoding = asyncio.Lock()

    async def listen(self, address: Address) -> None:
        """Starts to accept connections.

        Raises:
            ListenError: the address cannot be listened on.
        """
        self.server = await self._transport.listen(
            self._serve, address, READ_BUFFER_BYTES, MAX_ACCEPTS_PER_TURN
        )

    async def stop_accepting(self) -> None:
        """Accepts all connections in the kernel's queue, then closes the listening socket.

        Closing the listener resets the connections in the kernel's queue, and there may be more of them than
        the event loop accepts in one turn. Connections accepted in the current turn are not in the table of
        open connections yet.
        """
        accepted_before = -1
        deadline = self._clock() + INCOMPLETE_REQUEST_GRACE_MS
        while accepted_before != self.accepted_count and self._clock() < deadline:
            accepted_before = self.accepted_count
            await _yield_to_accepts()
        if self.server is not None:
            self.server.stop_accepting()
        await _yield_to_accepts()
        self.close()

    def close(self) -> None:
        """Closes the listening socket."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: ByteCountingReader, writer: asyncio.StreamWriter) -> None:
        has_capacity = self.has_capacity()
        if not has_capacity and self._over_capacity_count >= MAX_OVER_CAPACITY_CONNECTIONS:
            writer.transport.abort()
            return
        limit_read_size(writer, READ_BUFFER_BYTES)
        self.accepted_count += 1
        connection = ClientConnection(
            self.accepted_count, reader, writer, self._clock(), is_over_capacity=not has_capacity
        )
        self._connections.add(connection)
        self._over_capacity_count += connection.is_over_capacity
        reader.on_received = lambda: self._memory.on_change(connection)
        self._memory.on_change(connection)
        try:
            await self._read(connection)
        except OSError:
            pass
        except Exception as err:
            self._report_fault(f"client connection {connection.connection_id}", err)
        finally:
            try:
                await self._connections.finish_closing(connection)
            finally:
                reader.on_received = None
                self._memory.on_closed(connection)
                self._over_capacity_count -= connection.is_over_capacity

    async def _read(self, connection: ClientConnection) -> None:
        """Reads until the end of the stream."""
        while not connection.is_closing() and (data := await connection.reader.read(READ_BUFFER_BYTES)):
            connection.bytes_read += len(data)
            # Input after this node's end of stream is discarded, as it cannot be answered.
            if self._connections.is_open(connection):
                self._http.handle_bytes(connection, data)
                await self._decode_rest(connection)
            self._memory.on_change(connection)
        if self._connections.is_open(connection) and not connection.has_unanswered_request:
            self._http.handle_end_of_stream(connection)

    async def _decode_rest(self, connection: ClientConnection) -> None:
        """Decodes the rest of a read in slices.

        In each turn of the event loop one connection decodes one slice, so that clients with input that is
        costly to decode delay neither each other nor other clients for long.
        """
        while connection.has_undecoded_input and self._connections.is_open(connection):
            async with self._decoding:
                await asyncio.sleep(0)
                if self._connections.is_open(connection):
                    self._http.decode_slice(connection)


async def _yield_to_accepts() -> None:
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
