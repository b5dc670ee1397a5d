"""The boundary between a node and its environment: clock, connections, datagrams and signals.

`socket_transport.SocketTransport` implements `Transport` with the system's sockets; the simulation has an
implementation with a network in memory.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from onyxpost.config.address import Address

# Error numbers of a connection attempt that show a resource shortage on this machine, not a fault of the
# peer.
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ByteCountingReader(asyncio.StreamReader):
    """A stream reader that counts all bytes received.

    Input is unread if `bytes_received` exceeds the number of bytes that the owner has read. `on_received` is
    called whenever bytes have been received.
    """

    bytes_received = 0
    on_received: Callable[[], None] | None = None

    def feed_data(self, data: Any) -> None:  # noqa: ANN401 - wider than bytes in the base class
        """Counts the bytes and buffers them."""
        self.bytes_received += len(data)
        super().feed_data(data)
        if self.on_received is not None:
            self.on_received()


ConnectionHandler = Callable[[ByteCountingReader, asyncio.StreamWriter], Awaitable[None]]


class FlowControlProtocol(asyncio.StreamReaderProtocol):
    """A stream protocol that records whether writing is paused.

    With a write buffer limit of zero, writing is paused exactly while bytes wait to be passed to the kernel.
    """

    is_write_paused = False

    def pause_writing(self) -> None:
        """Records that the write buffer exceeds its limit."""
        self.is_write_paused = True
        super().pause_writing()

    def resume_writing(self) -> None:
        """Records that the write buffer has been drained."""
        self.is_write_paused = False
        super().resume_writing()


class DialedConnection(NamedTuple):
    """A connection that this process opened.

    Attributes:
        reader: the input stream.
        writer: the output stream.
        is_input_read: returns whether the event loop has read everything that arrived, so that neither
            bytes nor an end of stream are pending in the kernel.
        is_flushed: returns whether the kernel has accepted the last byte written, even if the connection has
            ended since.
    """

    reader: ByteCountingReader
    writer: asyncio.StreamWriter
    is_input_read: Callable[[], bool]
    is_flushed: Callable[[], bool]


class UnreadInput(Enum):
    """The input that has arrived from the peer and that the event loop has not read yet."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the peer closed or reset the connection; unread bytes may precede the end


class Listener(Protocol):
    """A listening socket."""

    @property
    def sockets(self) -> tuple[Any, ...]:
        """The listening sockets; none after `close`."""

    def stop_accepting(self) -> None:
        """Stops accepting connections, but keeps the listener open."""

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""


class Transport(Protocol):
    """The clock, connections, datagrams and signals that a node or planner uses."""

    def clock(self) -> float:
        """Returns the Unix time in ms; it never decreases."""

    def monotonic(self) -> float:
        """Returns a monotonic time in ms that all processes on this machine share."""

    async def listen(
        self, serve: ConnectionHandler, address: Address, buffer_limit_bytes: int, max_accepts_per_turn: int
    ) -> Listener:
        """Listens at `address` and runs `serve` for each accepted connection.

        Args:
            serve: handles one connection.
            address: the address to listen at.
            buffer_limit_bytes: the buffer limit of each stream.
            max_accepts_per_turn: the maximum number of connections accepted in one turn of the event loop.

        Raises:
            ListenError: the address cannot be bound.
        """

    async def dial(self, address: Address, buffer_limit_bytes: int) -> DialedConnection:
        """Opens a connection; `buffer_limit_bytes` is the stream's buffer limit. Raises OSError."""

    def unread_input(self, transport: asyncio.BaseTransport) -> UnreadInput:
        """Returns which input of an accepted connection the event loop has not read yet."""

    async def open_datagram_endpoint(self, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        """Passes datagrams received at `address` to `protocol`.

        Raises:
            ListenError: the address cannot be bound.
        """

    def install_signal_handlers(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Calls `stop` on SIGTERM or SIGINT and `reload` on SIGHUP."""

    def ignore_signals(self) -> None:
        """Ignores SIGHUP and SIGTERM while the process ends."""

    def freeze_startup_objects(self) -> None:
        """Excludes all objects that exist now from garbage collection."""

    def collect_garbage(self) -> None:
        """Frees objects that refer to each other, as closed connections do."""

    def descriptor_limit(self) -> int:
        """Returns how many sockets the system lets this process open."""

    def resident_bytes(self) -> int:
        """Returns the memory that this process uses now."""
