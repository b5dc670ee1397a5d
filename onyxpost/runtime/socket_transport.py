"""The transport of a real process: the system's clock, TCP and UDP sockets, and signals."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import select
import signal
import socket
import time
from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.errors import ListenError
from onyxpost.runtime.transport import CountingReader, DialedConnection, FlowControlProtocol, Unread

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import ConnectionHandler

# Descriptors that are not sockets of the node: standard streams, the event loop's and the interpreter's.
RESERVED_DESCRIPTORS = 16
LISTEN_BACKLOG = 1024  # connections that the kernel holds until they are accepted


class SocketTransport:
    """Implements `Transport` on the system's sockets."""

    def __init__(self) -> None:
        self._unix_offset_ms = time.time() * MS_PER_SECOND - time.monotonic() * MS_PER_SECOND

    def clock(self) -> float:
        """Returns the Unix time in ms: read once at the start, then advanced by the monotonic clock."""
        return self._unix_offset_ms + self.monotonic()

    def monotonic(self) -> float:
        """Returns ms of the monotonic clock that all processes of this machine share."""
        return time.monotonic() * MS_PER_SECOND

    async def listen(
        self, serve: ConnectionHandler, address: Address, limit: int, accepts: int
    ) -> asyncio.Server:
        """Listens at `address`; see `Transport.listen`."""
        try:
            listener = _with_tcp_protocol(socket.create_server(address, backlog=LISTEN_BACKLOG))
        except OSError as err:
            raise _listen_error(address, err) from err
        loop = asyncio.get_running_loop()

        def create_protocol() -> asyncio.StreamReaderProtocol:
            reader = CountingReader(limit=limit, loop=loop)
            return asyncio.StreamReaderProtocol(reader, serve, loop=loop)  # type: ignore[arg-type]

        server = await loop.create_server(create_protocol, sock=listener, backlog=accepts)
        # asyncio uses one number for the kernel's backlog and the accepts of one turn: here they differ.
        listener.listen(LISTEN_BACKLOG)
        return server

    async def dial(self, address: Address, limit: int) -> DialedConnection:
        """Opens a TCP connection.

        The socket is created here because asyncio gives no access to input that it has not read yet.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            reader = CountingReader(limit=limit, loop=loop)
            protocol = FlowControlProtocol(reader, loop=loop)
            transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
        except BaseException:
            sock.close()
            raise
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return DialedConnection(
            reader,
            writer,
            lambda: _peek(sock) is Unread.NOTHING,
            lambda: not protocol.is_write_paused,
        )

    def unread(self, transport: asyncio.BaseTransport) -> Unread:
        """Checks the receive buffer of an accepted connection; one that is being closed reports its end."""
        if transport.is_closing():
            return Unread.END
        # asyncio's view of the socket cannot read, so the descriptor is borrowed for a moment.
        socket_view = transport.get_extra_info("socket")
        sock = socket.socket(
            socket_view.family, socket_view.type, socket_view.proto, fileno=socket_view.fileno()
        )
        try:
            return _peek(sock)
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
        # Not a handler of the loop: that would be removed with the loop, and a SIGHUP after that would kill a
        # process that is about to exit.
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(reload))
        # The launcher blocks SIGHUP; one sent before this handler was installed is delivered now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def descriptor_limit(self) -> int:
        """Returns how many sockets this process may have open, whatever its configuration says."""
        return max(1, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_DESCRIPTORS)

    def ignore_signals(self) -> None:
        """Ignores signals while the process ends: the loop removes its own handlers before the exit."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
        signal.signal(signal.SIGTERM, lambda *_: None)

    def freeze_startup_objects(self) -> None:
        """Excludes all objects that exist now from garbage collection: they live as long as the process."""
        gc.collect()
        gc.freeze()


def _listen_error(address: Address, err: OSError) -> ListenError:
    """Returns the error with the system's text: asyncio replaces the text but keeps the number."""
    system_text = os.strerror(err.errno) if err.errno and err.errno > 0 else ""
    return ListenError(system_text or str(err), "{}:{}".format(*address))


def _with_tcp_protocol(sock: socket.socket) -> socket.socket:
    """Returns the socket with its protocol given as TCP.

    asyncio sets TCP_NODELAY only on sockets whose protocol is given; accepted sockets inherit it from here.
    """
    return socket.socket(sock.family, sock.type, socket.IPPROTO_TCP, fileno=sock.detach())


def _peek(sock: socket.socket) -> Unread:
    """Returns what waits in the socket's receive buffer, without reading it."""
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return Unread.END
        # Waiting bytes hide an end of stream behind them from recv, but not from poll.
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return Unread.END if poll.poll(0) else Unread.BYTES
    except BlockingIOError:
        return Unread.NOTHING
    except OSError:
        return Unread.END
