"""Proxies for TCP; the faults of a link apply to one direction of each connection. I/O."""

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
MAX_BUFFERED_BYTES = 1 << 20  # per direction of a connection; reading pauses above this
BUFFER_POLL_SECONDS = 0.01
READ_CHUNK_BYTES = 65536
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0, which makes close send RST


class TransferStage(Enum):
    """The point in a proxy at which bytes are observed."""

    RECEIVED = auto()
    FORWARDED = auto()


class Transfer(NamedTuple):
    """Bytes of a connection, as a proxy reports them to its observer.

    Attributes:
        source: the endpoint that sent the bytes.
        destination: the endpoint that the bytes are sent to.
        data: the bytes.
        stage: whether the proxy received the bytes or is about to forward them.
        unread_ms: how long received bytes waited in the proxy's socket until they were read; 0 if forwarded.
    """

    source: str
    destination: str
    data: bytes
    stage: TransferStage
    unread_ms: float = 0.0


ByteObserver = Callable[[Transfer], None]


class Chunk(NamedTuple):
    """Bytes to be forwarded; empty bytes mean that the sender has closed its direction."""

    due_seconds: float
    data: bytes


class TcpProxy:
    """Listeners between pairs of endpoints, and the connections that they accepted.

    Args:
        links: the links of the run, with their faults.
        address_of: returns the address of the destination; called at each connection.
        observe: is called with all bytes received and forwarded.
    """

    def __init__(self, links: LinkTable, address_of: AddressLookup, observe: ByteObserver) -> None:
        self.links = links
        self.address_of = address_of
        self.observe = observe
        self.connections: dict[tuple[str, str], set[ProxiedConnection]] = {}
        self._listeners: list[asyncio.Server] = []

    async def open(self, source: str, destination: str) -> Address:
        """Listens for connections from `source` to `destination`; returns the address for `source`."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await ProxiedConnection(self, source, destination, reader, writer).run()

        listener = await asyncio.start_server(serve, LOOPBACK, 0, backlog=LISTEN_BACKLOG)
        self._listeners.append(listener)
        return cast("Address", listener.sockets[0].getsockname())

    def reset(self, one: str, other: str, incarnation: str = "") -> int:
        """Ends all connections between two endpoints with RST, like a router that lost its state.

        Args:
            one: an endpoint.
            other: the other endpoint.
            incarnation: limits the reset to connections to this incarnation, such as `s0.1`; empty for all.

        Returns:
            the number of connections that were reset.
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
    """The connection of an endpoint to the proxy, and the proxy's connection to the destination."""

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
            pass  # cancelled by `reset`
        finally:
            connections.discard(self)
            for writer in self.writers:
                writer.close()

    def reset(self) -> None:
        """Ends both connections with RST, and cancels their forwarding."""
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
    """One direction of a connection: a reading and a writing task with a queue between them."""

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
        """Forwards bytes from `reader` to `receiver`; `sender` is the writer of the reader's connection."""
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
            while self.queued_bytes > MAX_BUFFERED_BYTES:  # noqa: ASYNC110 - rare, and simpler than an event
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
        """Waits until the next bytes are due and the link is open, and returns them."""
        loop = asyncio.get_running_loop()
        while True:
            while not self.queue:
                self.has_chunk.clear()
                await self.has_chunk.wait()
            wait_seconds = self.queue[0].due_seconds - loop.time()
            if wait_seconds > 0.0:
                await asyncio.sleep(wait_seconds)
            await self.link.is_open.wait()
            if self.link.is_open.is_set():  # False if a new fault cut it in the same turn of the event loop
                data = self.queue.popleft().data
                self.queued_bytes -= len(data)
                return data
