"""Where a node's clock, connections, datagrams and signals come from: the system's, or a host's own."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

from onyxpost.edge import messages as m
from onyxpost.errors import NotListening

FILES = 16  # descriptors that are no sockets of the node's: its three files, the loop's and the interpreter's
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Reader(asyncio.StreamReader):
    """Counts what came, so that an idle connection shows what nobody asked for."""

    came = 0

    def feed_data(self, data: Any) -> None:
        self.came += len(data)
        super().feed_data(data)


class Line(NamedTuple):
    """A connection that this node opened."""

    reader: Reader
    writer: asyncio.StreamWriter
    silent: Callable[[], bool]  # nothing waits on it, neither bytes nor its end, that the loop has not read


class Listener(Protocol):
    @property
    def sockets(self) -> tuple[Any, ...]: ...

    def close(self) -> None: ...


def accept_no_more(listener: Listener) -> None:
    """Those just accepted still get their transport, which a closed server would refuse them."""
    for sock in listener.sockets:
        asyncio.get_running_loop().remove_reader(sock.fileno())


class Net(Protocol):
    def clock(self) -> float: ...
    def monotonic(self) -> float: ...
    async def listen(self, serve: Serve, address: m.Address, limit: int, accepts: int) -> Listener: ...
    async def dial(self, address: m.Address, limit: int) -> Line: ...
    async def datagrams(self, protocol: asyncio.DatagramProtocol, address: m.Address) -> None: ...
    def signals(self, stop: Callable[[], None], reread: Callable[[], None]) -> None: ...
    def deaf(self) -> None: ...
    def settled(self) -> None: ...
    def descriptors(self) -> int: ...


class Sockets:
    """The system's own."""

    def __init__(self) -> None:
        self.begun = time.time() * 1000.0 - time.monotonic() * 1000.0

    def clock(self) -> float:
        """Unix ms at the start, carried on by the monotonic clock: that of `startedAtMs` too."""
        return self.begun + self.monotonic()

    def monotonic(self) -> float:
        """ms, by one clock for all processes of this machine."""
        return time.monotonic() * 1000.0

    async def listen(self, serve: Serve, address: m.Address, limit: int, accepts: int) -> asyncio.Server:
        try:
            listener = socket.create_server(address, backlog=1024)
        except OSError as err:
            raise _not_had(address, err) from err
        server = await asyncio.start_server(serve, sock=listener, limit=limit, backlog=accepts)
        listener.listen(1024)  # asyncio takes as many at once as it lets wait
        return server

    async def dial(self, address: m.Address, limit: int) -> Line:
        """The socket is made here: asyncio shows nobody what it has not read yet."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            reader = Reader(limit=limit, loop=loop)
            protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
            transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
        except BaseException:
            sock.close()
            raise
        return Line(reader, asyncio.StreamWriter(transport, protocol, reader, loop), lambda: _silent(sock))

    async def datagrams(self, protocol: asyncio.DatagramProtocol, address: m.Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: protocol, local_addr=address)
        except OSError as err:
            raise _not_had(address, err) from err

    def signals(self, stop: Callable[[], None], reread: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop)
        # Not the loop's: with the loop it would end, and SIGHUP then ends a process that is just leaving.
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(reread))

    def descriptors(self) -> int:
        """How many sockets this process may have, whatever its file says."""
        return max(1, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - FILES)

    def deaf(self) -> None:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def settled(self) -> None:
        """What is here at the start stays: the collector need not look at it again."""
        gc.collect()
        gc.freeze()


def _not_had(address: m.Address, err: OSError) -> NotListening:
    """asyncio puts a text of its own in place of the system's, but the number stays."""
    system = os.strerror(err.errno) if err.errno and err.errno > 0 else ""
    return NotListening(system or str(err), "{}:{}".format(*address))


def _silent(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False
