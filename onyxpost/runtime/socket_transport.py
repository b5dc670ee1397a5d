"""The transport of a real process: the operating system's clock, TCP and UDP sockets, and signals."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import select
import signal
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.errors import ListenError
from onyxpost.runtime.socket_listener import SocketListener
from onyxpost.runtime.transport import ByteCountingReader, DialedConnection, FlowControlProtocol, UnreadInput

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import ConnectionHandler

# File descriptors that are not available for sockets: standard streams, event loop and interpreter use them.
RESERVED_DESCRIPTORS = 16
STATM_PATH = Path("/proc/self/statm")  # sizes of this process in pages; the second is the resident size
LISTEN_BACKLOG = 4096  # connections that the kernel queues until the process accepts them


class SocketTransport:
    """Implements `Transport` with the operating system's clock, sockets and signals."""

    def __init__(self) -> None:
        self._unix_offset_ms = time.time() * MS_PER_SECOND - time.monotonic() * MS_PER_SECOND

    def clock(self) -> float:
        """Returns the Unix time in ms: the time at the start, advanced by the monotonic clock."""
        return self._unix_offset_ms + self.monotonic()

    def monotonic(self) -> float:
        """Returns the time in ms of the monotonic clock that all processes on this machine share."""
        return time.monotonic() * MS_PER_SECOND

    async def listen(
        self, serve: ConnectionHandler, address: Address, buffer_limit_bytes: int, max_accepts_per_turn: int
    ) -> SocketListener:
        """Listens at `address`; see `Transport.listen`."""
        try:
            listener = _with_explicit_tcp_protocol(socket.create_server(address, backlog=LISTEN_BACKLOG))
        except OSError as err:
            raise _listen_error(address, err) from err
        loop = asyncio.get_running_loop()

        def create_protocol() -> asyncio.StreamReaderProtocol:
            reader = ByteCountingReader(limit=buffer_limit_bytes, loop=loop)
            return asyncio.StreamReaderProtocol(reader, serve, loop=loop)  # type: ignore[arg-type]

        return SocketListener(listener, create_protocol, max_accepts_per_turn)

    async def dial(self, address: Address, buffer_limit_bytes: int) -> DialedConnection:
        """Opens a TCP connection.

        The socket is created here, not by asyncio, because `is_input_read` peeks at its receive buffer.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            reader = ByteCountingReader(limit=buffer_limit_bytes, loop=loop)
            protocol = FlowControlProtocol(reader, loop=loop)
            transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
        except BaseException:
            sock.close()
            raise
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return DialedConnection(
            reader,
            writer,
            lambda: _peek_input(sock) is UnreadInput.NOTHING,
            lambda: not protocol.is_write_paused,
        )

    def unread_input(self, transport: asyncio.BaseTransport) -> UnreadInput:
        """Checks the receive buffer of an accepted connection; returns END if the connection is closing."""
        if transport.is_closing():
            return UnreadInput.END
        # The socket object that asyncio exposes has no `recv`, so a temporary one shares its descriptor.
        socket_view = transport.get_extra_info("socket")
        sock = socket.socket(
            socket_view.family, socket_view.type, socket_view.proto, fileno=socket_view.fileno()
        )
        try:
            return _peek_input(sock)
        finally:
            sock.detach()

    async def open_datagram_endpoint(self, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        """Receives datagrams at `address`; see `Transport.open_datagram_endpoint`."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: protocol, local_addr=address)
        except OSError as err:
            raise _listen_error(address, err) from err

    def install_signal_handlers(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Calls `stop` on SIGTERM or SIGINT and `reload` on SIGHUP."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop)
        # Not installed through the event loop, which removes its handlers when it closes: a later SIGHUP
        # would then kill a process that is about to exit.
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(reload))
        # SIGHUP is blocked at process start; one sent before this handler was installed is delivered now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def descriptor_limit(self) -> int:
        """Returns how many sockets the system's limit on file descriptors lets this process open."""
        return max(1, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_DESCRIPTORS)

    def resident_bytes(self) -> int:
        """Returns the resident memory of this process."""
        resident_pages = int(STATM_PATH.read_text().split()[1])
        return resident_pages * resource.getpagesize()

    def ignore_signals(self) -> None:
        """Ignores SIGHUP and SIGTERM while the process ends.

        The event loop removes its own handlers before the process exits, so a later signal would kill it.
        SIGTERM is therefore taken from the loop first; its new handler does nothing, as child processes would
        inherit an ignored SIGTERM. SIGHUP has no handler in the loop. SIGINT stays with the loop.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
        signal.signal(signal.SIGTERM, lambda *_: None)

    def collect_garbage(self) -> None:
        """Frees the cyclic garbage among the objects that were created after the start."""
        gc.collect()

    def freeze_startup_objects(self) -> None:
        """Excludes all objects that exist now from garbage collection; they live as long as the process."""
        gc.collect()
        gc.freeze()


def _listen_error(address: Address, err: OSError) -> ListenError:
    """Returns the error with the system's text for its number, because asyncio replaces the text."""
    system_text = os.strerror(err.errno) if err.errno and err.errno > 0 else ""
    return ListenError(system_text or str(err), "{}:{}".format(*address))


def _with_explicit_tcp_protocol(sock: socket.socket) -> socket.socket:
    """Returns the listening socket with its protocol set to TCP explicitly.

    asyncio sets TCP_NODELAY only on sockets whose protocol is IPPROTO_TCP; accepted sockets inherit the
    protocol from the listening socket.
    """
    return socket.socket(sock.family, sock.type, socket.IPPROTO_TCP, fileno=sock.detach())


def _peek_input(sock: socket.socket) -> UnreadInput:
    """Returns what the socket's receive buffer holds, without consuming it."""
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return UnreadInput.END
        # While bytes are unread, recv does not show an end of stream that follows them, but poll does.
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return UnreadInput.END if poll.poll(0) else UnreadInput.BYTES
    except BlockingIOError:
        return UnreadInput.NOTHING
    except OSError:
        return UnreadInput.END
