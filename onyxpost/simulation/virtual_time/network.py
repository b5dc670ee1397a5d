"""The virtual network: listeners, open connections, datagrams, and the faults injected into them."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.runtime.transport import ByteCountingReader, DialedConnection
from onyxpost.simulation.virtual_time.connection import Connection
from onyxpost.simulation.virtual_time.host import VirtualHost
from onyxpost.simulation.virtual_time.listener import VirtualListener
from onyxpost.simulation.virtual_time.loop import VirtualTimeLoop

if TYPE_CHECKING:
    from random import Random

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import ConnectionHandler
    from onyxpost.simulation.virtual_time.connection import ConnectionEnd

MIN_DELAY_SECONDS = 0.0002  # one-way delay
MAX_DELAY_SECONDS = 0.002  # one-way delay
BLOCKED_CONNECT_SECONDS = 3600.0  # wait of a blocked connection attempt; longer than any timeout of a program


class PlannedBreak(NamedTuple):
    """A fault that breaks the next connection to a host after some bytes."""

    side: int
    """The end whose sent bytes are counted: 0 for the end that dialed, 1 for the end that accepted."""
    after_bytes: int


class Network:
    """The network that all virtual hosts share; must be created while an event loop is running.

    Its tables are public, since fault handlers change them during a run.
    """

    def __init__(self, rng: Random) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.rng = rng
        self.listeners: dict[Address, VirtualListener] = {}
        self.hosts: dict[Address, str] = {}
        self.datagram_protocols: dict[Address, asyncio.DatagramProtocol] = {}
        self.connections: dict[str, list[Connection]] = defaultdict(list)  # by the host of either end
        self.cut_off: set[str] = set()  # hosts whose traffic is lost in both directions
        self.blocked_links: set[tuple[str, str]] = set()  # (source, target), blocked in this direction only
        self.datagram_loss = 0.0  # the fraction of datagrams that are lost
        self.connect_delays: dict[str, float] = {}  # extra seconds until a connection opens, by target host
        self.planned_breaks: dict[str, list[PlannedBreak]] = defaultdict(list)  # by target host, in order
        if isinstance(self.loop, VirtualTimeLoop):
            self.loop.call_at_end(self.close)

    def close(self) -> None:
        """Ends all connections at the end of a run, so that no stream uses the closed event loop."""
        for connections in self.connections.values():
            for connection in connections:
                connection.is_broken = True
                for end in connection.ends:
                    end.discard()

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether all that `source` sends to `target` is lost."""
        if source in self.cut_off or target in self.cut_off:
            return True
        return (source, target) in self.blocked_links

    def delay_seconds(self, source: str, target: str) -> float:  # noqa: ARG002 - tests override it
        """Returns the one-way delay of the next bytes or datagram from `source` to `target`."""
        return self.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)

    def host(self, name: str) -> VirtualHost:
        """Returns a new host with this name."""
        return VirtualHost(self, name)

    def listen(
        self, host: str, address: Address, serve: ConnectionHandler, buffer_limit_bytes: int
    ) -> VirtualListener:
        """Starts a listener of a host; `limit` is the buffer limit in bytes of the accepted streams.

        Raises:
            OSError: The address is already in use.
        """
        if address in self.listeners:
            raise OSError(f"address already in use: {address}")
        self.hosts[address] = host
        listener = VirtualListener(self, address, serve, buffer_limit_bytes)
        self.listeners[address] = listener
        return listener

    def stop_listening(self, listener: VirtualListener) -> None:
        """Removes a listener, unless another one listens at its address by now."""
        if self.listeners.get(listener.address) is listener:
            del self.listeners[listener.address]

    async def dial(self, host: str, address: Address, buffer_limit_bytes: int) -> DialedConnection:
        """Opens a connection from a host; `buffer_limit_bytes` is the stream's buffer limit.

        Raises:
            ConnectionRefusedError: There is no listener at the address.
        """
        await asyncio.sleep(2.0 * self.delay_seconds(host, str(address)))
        target = self.hosts.get(address, "")
        if target in self.connect_delays:
            await asyncio.sleep(self.connect_delays[target])
        if self.is_blocked(host, target):
            await asyncio.sleep(BLOCKED_CONNECT_SECONDS)
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"connection refused: no listener at {address}")
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
        for end_host in {host, target}:
            self.connections[end_host].append(connection)
        planned_breaks = self.planned_breaks[target]
        if planned_breaks:
            planned_break = planned_breaks.pop(0)
            connection.break_after(connection.ends[planned_break.side], planned_break.after_bytes)
        return connection

    def _accept(self, listener: VirtualListener, end: ConnectionEnd) -> None:
        reader = ByteCountingReader(limit=listener.buffer_limit_bytes, loop=self.loop)
        serve: Any = listener.serve
        end.connect(asyncio.StreamReaderProtocol(reader, serve, loop=self.loop))

    def kill_host(self, host: str) -> None:
        """Kills the process of a host: resets its connections and removes its listeners."""
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
        """Sends a datagram from a host; it may be lost."""
        target_host = self.hosts.get(target, "")
        if self.is_blocked(host, target_host) or self.rng.random() < self.datagram_loss:
            return
        delay_seconds = self.delay_seconds(host, target_host)
        self.loop.call_later(delay_seconds, self.deliver_datagram, source, data, target)

    def deliver_datagram(self, source: Address, data: bytes, target: Address) -> None:
        """Passes a datagram to the protocol that receives at `target` now, if there is one."""
        if target in self.datagram_protocols:
            self.datagram_protocols[target].datagram_received(data, source)
