"""Proxies for TCP: each direction of a connection goes by the faults of its link. I/O."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple, cast

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.free_ports import LOOPBACK
from onyxpost.simulation.multiprocess.endpoints import endpoint_of
from onyxpost.simulation.multiprocess.socket_arrival import unread_ms

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.simulation.multiprocess.endpoints import AddressLookup
    from onyxpost.simulation.multiprocess.link import Link, LinkTable

LISTEN_BACKLOG = 512
MAX_BUFFERED_BYTES = 1 << 20  # in one direction of a connection; beyond that nothing more is read
BUFFER_POLL_SECONDS = 0.01
READ_CHUNK_BYTES = 65536
LINGER_ZERO = struct.pack("ii", 1, 0)  # close sends RST


class TransferStage(Enum):
    """Where in a proxy bytes are observed."""

    RECEIVED = auto()
    FORWARDED = auto()


class Transfer(NamedTuple):
    """Bytes that a proxy reports.

    Attributes:
        source: the endpoint that sent them.
        destination: the endpoint that they are for.
        data: the bytes.
        stage: whether the proxy has received or forwarded them.
        unread_ms: how long they had waited in the proxy's socket until it read them; 0 if forwarded.
    """

    source: str
    destination: str
    data: bytes
    stage: TransferStage
    unread_ms: float = 0.0


ByteObserver = Callable[[Transfer], None]


class Chunk(NamedTuple):
    """Bytes on their way; none: the sender has closed its direction."""

    due_seconds: float
    data: bytes


class TcpProxy:
    """Listeners between pairs of endpoints, and the connections that they have accepted.

    Args:
        links: with their faults.
        address_of: finds the destination at the time of a connection.
        observe: is called with all bytes.
    """

    def __init__(self, links: LinkTable, address_of: AddressLookup, observe: ByteObserver) -> None:
        self.links = links
        self.address_of = address_of
        self.observe = observe
        self.connections: dict[tuple[str, str], set[ProxiedConnection]] = {}
        self._listeners: list[asyncio.Server] = []

    async def open(self, source: str, destination: str) -> Address:
        """Listens for connections of `source` to `destination`; returns the address for `source` to use."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await ProxiedConnection(self, source, destination, reader, writer).run()

        listener = await asyncio.start_server(serve, LOOPBACK, 0, backlog=LISTEN_BACKLOG)
        self._listeners.append(listener)
        return cast("Address", listener.sockets[0].getsockname())

    def reset(self, one: str, other: str, incarnation: str = "") -> int:
        """Ends all connections between two endpoints with RST, as a router that lost its state.

        Args:
            one: an endpoint.
            other: another one.
            incarnation: the only one whose connections are ended, as `s0.1`; empty: all.

        Returns:
            the number of connections.
        """
        connections = [*self.connections.get((one, other), ()), *self.connections.get((other, one), ())]
        affected = [connection for connection in connections if incarnation in ("", connection.destination)]
        for connection in affected:
            connection.reset()
        return len(affected)

    def reset_all(self, endpoint: str, incarnation: str = "") -> None:
        """Ends all connections of an endpoint, or of one of its incarnations, with RST."""
        for ends in list(self.connections):
            if endpoint in ends:
                self.reset(*ends, incarnation)

    def close(self) -> None:
        """Closes all listeners and connections."""
        for listener in self._listeners:
            listener.close()
        for connections in list(self.connections.values()):
            for connection in list(connections):
                connection.reset()


class ProxiedConnection:
    """A connection that an endpoint opened to the proxy, and the proxy's own to the destination."""

    def __init__(
        self,
        proxy: TcpProxy,
        source: str,
        destination: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.proxy = proxy
        self.source = source
        self.destination = destination
        self.reader = reader
        self.writers = [writer]
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Connects to the destination, and forwards in both directions until both have ended."""
        ends = endpoint_of(self.source), endpoint_of(self.destination)
        connections = self.proxy.connections.setdefault(ends, set())
        connections.add(self)
        self.task = asyncio.current_task()
        try:
            await self._forward_both_ways()
        except (OSError, ExceptionGroup):
            self.reset()
        except asyncio.CancelledError:
            pass  # `reset` cancels the task
        finally:
            connections.discard(self)
            for writer in self.writers:
                writer.close()

    def reset(self) -> None:
        """Ends both connections with RST."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and not writer.transport.is_closing():
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            writer.transport.abort()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    async def _forward_both_ways(self) -> None:
        address = self.proxy.address_of(self.destination)
        if address is None:
            raise ConnectionRefusedError(self.destination)
        client_writer = self.writers[0]
        server_reader, server_writer = await asyncio.open_connection(*address)
        self.writers.append(server_writer)
        requests = _Direction(self.proxy, self.source, self.destination)
        responses = _Direction(self.proxy, self.destination, self.source)
        async with asyncio.TaskGroup() as group:
            group.create_task(requests.run(self.reader, client_writer, server_writer))
            group.create_task(responses.run(server_reader, server_writer, client_writer))


class _Direction:
    """One direction of a connection: a queue between a task that reads and a task that writes."""

    def __init__(self, proxy: TcpProxy, source: str, destination: str) -> None:
        self.proxy = proxy
        self.source = source
        self.destination = destination
        self.link: Link = proxy.links.link(endpoint_of(source), endpoint_of(destination))
        self.queue: deque[Chunk] = deque()
        self.queued_bytes = 0
        self.has_chunk = asyncio.Event()

    async def run(
        self, reader: asyncio.StreamReader, sender: asyncio.StreamWriter, receiver: asyncio.StreamWriter
    ) -> None:
        """Forwards what `reader` yields, which reads the connection of `sender`, to `receiver`."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._write(receiver))
            await self._read(reader, sender)

    async def _read(self, reader: asyncio.StreamReader, sender: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data = await reader.read(READ_CHUNK_BYTES)
            if data:
                self._observe(data, TransferStage.RECEIVED, unread_ms(sender))
            due_seconds = loop.time() + self.link.behavior.delay_ms / MS_PER_SECOND
            self.queue.append(Chunk(due_seconds, data))
            self.queued_bytes += len(data)
            self.has_chunk.set()
            if not data:
                return
            while self.queued_bytes > MAX_BUFFERED_BYTES:  # noqa: ASYNC110 - rare, simpler than an event
                await asyncio.sleep(BUFFER_POLL_SECONDS)

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        while True:
            data = await self._next_chunk()
            if not data:
                writer.write_eof()
                return
            self._observe(data, TransferStage.FORWARDED)
            writer.write(data)
            await writer.drain()

    def _observe(self, data: bytes, stage: TransferStage, waited_ms: float = 0.0) -> None:
        self.proxy.observe(Transfer(self.source, self.destination, data, stage, waited_ms))

    async def _next_chunk(self) -> bytes:
        """Returns the next bytes once they are due and the link is open."""
        loop = asyncio.get_running_loop()
        while True:
            while not self.queue:
                self.has_chunk.clear()
                await self.has_chunk.wait()
            wait_seconds = self.queue[0].due_seconds - loop.time()
            if wait_seconds > 0.0:
                await asyncio.sleep(wait_seconds)
            await self.link.is_open.wait()
            if self.link.is_open.is_set():  # else cut again in the turn of the loop in which it healed
                data = self.queue.popleft().data
                self.queued_bytes -= len(data)
                return data
