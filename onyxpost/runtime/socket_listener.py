"""A listening TCP socket that goes on accepting after `accept()` has failed."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

# Time after which accept() is tried again when the process or system lacks descriptors or memory.
RETRY_SECONDS = 0.01
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class SocketListener:
    """Accepts connections; unlike `asyncio.Server`, which pauses for a second after an error."""

    def __init__(
        self,
        listening_socket: socket.socket,
        create_protocol: Callable[[], asyncio.StreamReaderProtocol],
        max_accepts_per_turn: int,
    ) -> None:
        """Starts to accept connections in the running event loop.

        Args:
            listening_socket: a socket that listens.
            create_protocol: returns the protocol of a new connection.
            max_accepts_per_turn: the maximum number of connections accepted in one turn of the event loop.
        """
        self._socket = listening_socket
        self._create_protocol = create_protocol
        self._max_accepts_per_turn = max_accepts_per_turn
        self._loop = asyncio.get_running_loop()
        self._is_accepting = True
        self._is_closed = False
        self._opening: set[asyncio.Task[None]] = set()
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket.fileno(), self._accept_pending)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening socket; none after `close`."""
        return () if self._is_closed else (self._socket,)

    def stop_accepting(self) -> None:
        """Accepts no more connections; those in the kernel's queue stay there until `close` resets them."""
        if self._is_accepting:
            self._is_accepting = False
            self._loop.remove_reader(self._socket.fileno())

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""
        self.stop_accepting()
        self._is_closed = True
        self._socket.close()

    def _accept_pending(self) -> None:
        for _ in range(self._max_accepts_per_turn):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in RESOURCE_ERRNOS:
                    self._pause(error)
                    return
                continue  # this connection has failed before it was accepted, others may be in the queue
            accepted.setblocking(False)
            task = self._loop.create_task(self._open(accepted))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._create_protocol, accepted)
        except OSError:
            accepted.close()

    def _pause(self, error: OSError) -> None:
        self._loop.remove_reader(self._socket.fileno())
        self._loop.call_later(RETRY_SECONDS, self._resume)
        message = "socket.accept() out of system resource"
        self._loop.call_exception_handler({"message": message, "exception": error, "socket": self._socket})

    def _resume(self) -> None:
        if self._is_accepting:
            self._loop.add_reader(self._socket.fileno(), self._accept_pending)
