"""A network in memory that can fail: who listens, every open connection, and who reaches whom."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.runtime.transport import ByteCountingReader, DialedConnection
from onyxpost.simulation.virtual_time.connection import Connection
from onyxpost.simulation.virtual_time.host import VirtualHost
from onyxpost.simulation.virtual_time.listener import VirtualListener

if TYPE_CHECKING:
    from random import Random

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import ConnectionHandler
    from onyxpost.simulation.virtual_time.connection import ConnectionEnd

MIN_DELAY_SECONDS = 0.0002  # one way
MAX_DELAY_SECONDS = 0.002
NEVER_SECONDS = 3600.0  # later than any timeout of a program


class PlannedBreak(NamedTuple):
    """Where the next connection to a host breaks."""

    side: int
    """Whose bytes are counted: 0 the end that dialed, 1 the end that accepted."""
    after_bytes: int


class Network:
    """All that listens, every open connection, and who reaches whom; must be created in a running loop.

    Its tables are public, as faults change them while it runs.
    """

    def __init__(self, rng: Random) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.rng = rng
        self.listeners: dict[Address, VirtualListener] = {}
        self.hosts: dict[Address, str] = {}
        self.datagram_protocols: dict[Address, asyncio.DatagramProtocol] = {}
        self.connections: dict[str, list[Connection]] = defaultdict(list)  # by host, either end
        self.cut_off: set[str] = set()  # hosts that reach nobody and are not reached
        self.blocked_links: set[tuple[str, str]] = set()  # from a host to another, in this direction alone
        self.datagram_loss = 0.0  # the fraction of datagrams that are lost
        self.connect_delays: dict[str, float] = {}  # extra seconds until a connection to a host is open
        self.planned_breaks: dict[str, list[PlannedBreak]] = defaultdict(list)  # of the next ones to a host

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether nothing that one host sends reaches the other."""
        if source in self.cut_off or target in self.cut_off:
            return True
        return (source, target) in self.blocked_links

    def delay_seconds(self, source: str, target: str) -> float:  # noqa: ARG002 - tests replace it by link
        """Returns how long the next bytes or datagram take from one host to another."""
        return self.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)

    def host(self, name: str) -> VirtualHost:
        """Returns the network as a host with this name has it."""
        return VirtualHost(self, name)

    def listen(
        self, host: str, address: Address, serve: ConnectionHandler, buffer_limit_bytes: int
    ) -> VirtualListener:
        """Listens for a host; `buffer_limit_bytes` is the stream's buffer limit.

        Raises:
            OSError: Somebody listens there already.
        """
        if address in self.listeners:
            raise OSError(f"{address} is taken")
        self.hosts[address] = host
        listener = VirtualListener(self, address, serve, buffer_limit_bytes)
        self.listeners[address] = listener
        return listener

    def stop_listening(self, listener: VirtualListener) -> None:
        """Ends a listener, unless another one has its address by now."""
        if self.listeners.get(listener.address) is listener:
            del self.listeners[listener.address]

    async def dial(self, host: str, address: Address, buffer_limit_bytes: int) -> DialedConnection:
        """Opens a connection for a host; `buffer_limit_bytes` is the stream's buffer limit.

        Raises:
            ConnectionRefusedError: Nobody listens there.
        """
        await asyncio.sleep(2.0 * self.delay_seconds(host, str(address)))
        target = self.hosts.get(address, "")
        if target in self.connect_delays:
            await asyncio.sleep(self.connect_delays[target])
        if self.is_blocked(host, target):
            await asyncio.sleep(NEVER_SECONDS)
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"nobody at {address}")
        connection = self._new_connection(host, target)
        near, far = connection.ends
        reader = ByteCountingReader(limit=buffer_limit_bytes, loop=self.loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=self.loop)
        self._accept(listener, far)
        near.connect(protocol)

        def is_all_read() -> bool:
            return not connection.bytes_in_flight[near] and not near.has_unread and not near.is_lost

        writer = asyncio.StreamWriter(near, protocol, reader, self.loop)
        return DialedConnection(reader, writer, is_all_read, lambda: True)

    def _new_connection(self, host: str, target: str) -> Connection:
        connection = Connection(self, host, target)
        for one in {host, target}:
            self.connections[one].append(connection)
        planned_breaks = self.planned_breaks[target]
        if planned_breaks:
            planned = planned_breaks.pop(0)
            connection.break_after(connection.ends[planned.side], planned.after_bytes)
        return connection

    def _accept(self, listener: VirtualListener, end: ConnectionEnd) -> None:
        reader = ByteCountingReader(limit=listener.buffer_limit_bytes, loop=self.loop)
        serve: Any = listener.serve
        end.connect(asyncio.StreamReaderProtocol(reader, serve, loop=self.loop))

    def kill_host(self, host: str) -> None:
        """Kills the process of a host: its connections are reset, and it listens no more."""
        for address in [address for address, owner in self.hosts.items() if owner == host]:
            self.listeners.pop(address, None)
            self.datagram_protocols.pop(address, None)
        for connection in self.connections.pop(host, []):
            for end in connection.ends:
                if end.host == host:
                    end.kill()
                    connection.is_broken = True

    def reset_connections(self, host: str) -> None:
        """Resets the open connections of a host."""
        for connection in self.connections[host]:
            if not connection.is_broken and not connection.ends[0].is_lost:
                connection.break_at(self.loop.time())

    def send_datagram(self, host: str, source: Address, data: bytes, target: Address) -> None:
        """Sends a datagram for a host; it may be lost."""
        target_host = self.hosts.get(target, "")
        if self.is_blocked(host, target_host) or self.rng.random() < self.datagram_loss:
            return
        delay_seconds = self.delay_seconds(host, target_host)
        self.loop.call_later(delay_seconds, self.deliver_datagram, source, data, target)

    def deliver_datagram(self, source: Address, data: bytes, target: Address) -> None:
        """Passes a datagram to whoever receives at the address by now."""
        if target in self.datagram_protocols:
            self.datagram_protocols[target].datagram_received(data, source)
