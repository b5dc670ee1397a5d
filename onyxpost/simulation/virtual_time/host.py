"""A host of the virtual network: its listeners, connections, datagrams, clock and signals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.transport import UnreadInput
from onyxpost.simulation.virtual_time.connection import ConnectionEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from _typeshed import ReadableBuffer as Buffer

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import ConnectionHandler, DialedConnection
    from onyxpost.simulation.virtual_time.listener import VirtualListener

START_UNIX_MS = 1_000_000_000_000.0  # Unix ms at the start of a run
DESCRIPTOR_LIMIT = 1 << 20  # file descriptors; more than any program here needs


class SharedNetwork(Protocol):
    """The part of the network's interface that hosts use; `Network` implements it."""

    loop: asyncio.AbstractEventLoop
    hosts: dict[Address, str]
    datagram_protocols: dict[Address, asyncio.DatagramProtocol]

    def listen(
        self, host: str, address: Address, serve: ConnectionHandler, buffer_limit_bytes: int
    ) -> VirtualListener:
        """Starts a listener of a host."""

    async def dial(self, host: str, address: Address, buffer_limit_bytes: int) -> DialedConnection:
        """Opens a connection from a host."""

    def send_datagram(self, host: str, source: Address, data: bytes, target: Address) -> None:
        """Sends a datagram from a host; it may be lost."""


class VirtualDatagramTransport(asyncio.DatagramTransport):
    """Transport of the datagrams that one host sends and receives at one address."""

    def __init__(self, network: SharedNetwork, host: str, address: Address) -> None:
        super().__init__()
        self._network = network
        self._host = host
        self._address = address

    def sendto(
        self, data: bytes | bytearray | memoryview, addr: tuple[Any, ...] | str | Buffer | None = None
    ) -> None:
        """Sends a datagram to `addr`, a host and port."""
        assert isinstance(addr, tuple)
        host, port = addr
        self._network.send_datagram(self._host, self._address, bytes(data), (host, port))

    def close(self) -> None:
        """Stops receiving datagrams at the address."""
        self._network.datagram_protocols.pop(self._address, None)


class VirtualHost:
    """A host, which is an `onyxpost.runtime.transport.Transport` without sockets and real time."""

    def __init__(self, network: SharedNetwork, name: str) -> None:
        self.network = network
        self.name = name
        self._on_stop: Callable[[], None] = _ignore_signal
        self._on_reload: Callable[[], None] = _ignore_signal

    def clock(self) -> float:
        """Returns the virtual Unix time in ms."""
        return START_UNIX_MS + self.monotonic()

    def monotonic(self) -> float:
        """Returns the virtual time in ms since the start of the run."""
        return self.network.loop.time() * MS_PER_SECOND

    async def listen(
        self,
        serve: ConnectionHandler,
        address: Address,
        buffer_limit_bytes: int,
        max_accepts_per_turn: int,  # noqa: ARG002 - parameter of `Transport`; a virtual listener has no backlog
    ) -> VirtualListener:
        """Listens at `address`; `buffer_limit_bytes` is the stream's buffer limit. Raises OSError."""
        return self.network.listen(self.name, address, serve, buffer_limit_bytes)

    async def dial(self, address: Address, buffer_limit_bytes: int) -> DialedConnection:
        """Opens a connection; `buffer_limit_bytes` is the stream's buffer limit. Raises OSError."""
        return await self.network.dial(self.name, address, buffer_limit_bytes)

    def unread_input(self, transport: asyncio.BaseTransport) -> UnreadInput:
        """Returns what an accepted connection has received but not read: bytes, its end or nothing."""
        assert isinstance(transport, ConnectionEnd)
        if transport.is_closed or transport.has_received_eof:
            return UnreadInput.END
        return UnreadInput.BYTES if transport.has_unread else UnreadInput.NOTHING

    async def open_datagram_endpoint(self, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        """Passes datagrams that arrive at `address` to `protocol`."""
        self.network.hosts[address] = self.name
        self.network.datagram_protocols[address] = protocol
        protocol.connection_made(VirtualDatagramTransport(self.network, self.name, address))

    def install_signal_handlers(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Calls `stop` on SIGTERM and `reload` on SIGHUP."""
        self._on_stop = stop
        self._on_reload = reload

    def collect_garbage(self) -> None:
        """Does nothing, since all hosts share a process."""

    def resident_bytes(self) -> int:
        """Returns 0, since all hosts share a process."""
        return 0

    def ignore_signals(self) -> None:
        """Ignores SIGHUP from now on; a second SIGTERM changes nothing."""
        self._on_reload = _ignore_signal

    def send_sigterm(self) -> None:
        """Calls the SIGTERM handler of the host's program."""
        self._on_stop()

    def send_sighup(self) -> None:
        """Calls the SIGHUP handler of the host's program."""
        self._on_reload()

    def freeze_startup_objects(self) -> None:
        """Does nothing, since many hosts share one process."""

    def descriptor_limit(self) -> int:
        """Returns the maximum number of file descriptors, which no program here reaches."""
        return DESCRIPTOR_LIMIT


def _ignore_signal() -> None:
    """Ignores a signal: the handler of a program that has installed none."""
