"""The boundary between a node and its environment: clock, connections, datagrams and signals.

`socket_transport.SocketTransport` implements `Transport` on the system's sockets; the simulation has another
implementation, a network in memory.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from onyxpost.config.address import Address

# Errors of a connection attempt that show a shortage on this machine and say nothing about the other end.
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts all bytes received; more than its owner has read are unread input."""

    bytes_received = 0

    def feed_data(self, data: Any) -> None:  # noqa: ANN401 - wider than bytes in the base class
        """Counts the bytes and buffers them."""
        self.bytes_received += len(data)
        super().feed_data(data)


ConnectionHandler = Callable[[CountingReader, asyncio.StreamWriter], Awaitable[None]]


class FlowControlProtocol(asyncio.StreamReaderProtocol):
    """A stream protocol that shows whether writing is paused.

    With a write buffer limit of zero, writing is paused exactly while bytes wait to be handed to the kernel.
    """

    is_write_paused = False

    def pause_writing(self) -> None:
        """Notes that written bytes are waiting."""
        self.is_write_paused = True
        super().pause_writing()

    def resume_writing(self) -> None:
        """Notes that the write buffer is empty again."""
        self.is_write_paused = False
        super().resume_writing()


class DialedConnection(NamedTuple):
    """A connection that this node opened."""

    reader: CountingReader
    writer: asyncio.StreamWriter
    # Returns whether the event loop has read all that arrived: no bytes and no end of stream are waiting.
    has_no_unread_input: Callable[[], bool]
    # Returns whether the kernel has taken the last byte written, even if the connection has ended since.
    is_flushed: Callable[[], bool]


class Unread(Enum):
    """What has arrived from the other end but has not been read by the event loop yet."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the other end closed or reset the connection; bytes may precede the end


class Listener(Protocol):
    """A listening socket, as `asyncio.Server`."""

    @property
    def sockets(self) -> tuple[Any, ...]:
        """The listening sockets."""

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""


class Transport(Protocol):
    """The clock, connections, datagrams and signals that a node runs on."""

    def clock(self) -> float:
        """Returns the Unix time in ms; it never decreases."""

    def monotonic(self) -> float:
        """Returns a monotonic time in ms that all processes of this machine share."""

    async def listen(self, serve: ConnectionHandler, address: Address, limit: int, accepts: int) -> Listener:
        """Listens at `address` and runs `serve` for each accepted connection.

        `limit` is the stream's buffer limit in bytes; `accepts` bounds the connections accepted in one
        turn of the event loop. Raises ListenError if the address cannot be bound.
        """

    async def dial(self, address: Address, limit: int) -> DialedConnection:
        """Opens a connection; `limit` is the stream's buffer limit in bytes. Raises OSError."""

    def unread(self, transport: asyncio.BaseTransport) -> Unread:
        """Returns what an accepted connection has received that the event loop has not read yet."""

    async def open_datagram_endpoint(self, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        """Receives datagrams at `address`. Raises ListenError if the address cannot be bound."""

    def install_signal_handlers(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Calls `stop` on SIGTERM or SIGINT and `reload` on SIGHUP."""

    def ignore_signals(self) -> None:
        """Ignores further signals while the process ends."""

    def freeze_startup_objects(self) -> None:
        """Excludes all objects that exist now from garbage collection."""

    def descriptor_limit(self) -> int:
        """Returns how many sockets this process may have open."""


def stop_accepting(listener: Listener) -> None:
    """Stops accepting, but keeps the listener open.

    Connections that were just accepted still get their transport: asyncio creates none on a closed server.
    """
    for sock in listener.sockets:
        asyncio.get_running_loop().remove_reader(sock.fileno())
