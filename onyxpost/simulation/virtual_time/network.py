"""A network in memory that can fail, and a host's place in it."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import Any

from onyxpost.config.address import Address
from onyxpost.runtime.transport import ConnectionHandler, CountingReader, DialedConnection, Unread
from onyxpost.simulation.virtual_time.wires import End, Wire

EPOCH = 1_000_000_000_000.0  # Unix ms at a run's start


class Listening:
    """A listener in memory, with `asyncio.Server`'s way of being closed."""

    def __init__(self, net: Network, address: Address, serve: ConnectionHandler, limit: int) -> None:
        self.net, self.address, self.serve, self.limit = net, address, serve, limit
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def sockets(self) -> tuple[Any, ...]:
        return ()

    def close(self) -> None:
        if self.net.listeners.get(self.address) is self:
            del self.net.listeners[self.address]


class Network:
    """All that listens, every open connection, and who can hear whom."""

    def __init__(self, chance: Random) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.chance = chance
        self.listeners: dict[Address, Listening] = {}
        self.hosts: dict[Address, str] = {}
        self.datagram: dict[Address, tuple[str, asyncio.DatagramProtocol]] = {}
        self.cut_off: set[str] = set()  # hosts that are not heard and hear nobody
        self.loses = 0.0  # share of datagrams lost
        self.late: dict[str, float] = {}  # s by which connections to a host come up late
        self.wires: dict[str, list[Wire]] = defaultdict(list)  # by host, either side
        # For the next connections to a host: the side that says too little, and after how many bytes.
        self.break_next: dict[str, list[tuple[int, int]]] = defaultdict(list)

    def silent(self, here: str, there: str) -> bool:
        return here in self.cut_off or there in self.cut_off

    def delay(self, here: str, there: str) -> float:
        return self.chance.uniform(0.0002, 0.002)

    def host(self, name: str) -> Hosted:
        return Hosted(self, name)

    async def dial(self, name: str, address: Address, limit: int) -> DialedConnection:
        await asyncio.sleep(2.0 * self.delay(name, str(address)))
        there = self.hosts.get(address, "")
        if there in self.late:
            await asyncio.sleep(self.late[there])
        if self.silent(name, there):
            await asyncio.sleep(3600.0)  # it never comes up: whoever waits gives up
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"nobody at {address}")
        wire = Wire(self, name, there)
        for host in {name, there}:
            self.wires[host].append(wire)
        if planned := self.break_next[there]:
            side, after = planned.pop(0)
            wire.breaks[wire.ends[side]] = after
        near, far = wire.ends
        reader = CountingReader(limit=limit, loop=self.loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=self.loop)
        near.protocol = protocol
        far_reader = CountingReader(limit=listener.limit, loop=self.loop)
        serve: Any = listener.serve
        far.protocol = asyncio.StreamReaderProtocol(far_reader, serve, loop=self.loop)
        far.protocol.connection_made(far)
        protocol.connection_made(near)

        def unread() -> bool:
            return not wire.flying[near] and not near.waiting and not near.lost

        return DialedConnection(
            reader, asyncio.StreamWriter(near, protocol, reader, self.loop), unread, lambda: True
        )

    def die(self, host: str) -> None:
        """Its connections are reset, and nobody listens any more."""
        for address in [address for address, owner in self.hosts.items() if owner == host]:
            self.listeners.pop(address, None)
            self.datagram.pop(address, None)
        for wire in self.wires.pop(host, []):
            for end in wire.ends:
                if end.name == host:
                    end.shut = end.lost = True
                    wire.reset(end)
                    wire.broken = True

    def reset_some(self, host: str) -> None:
        for wire in self.wires[host]:
            if not wire.broken and not wire.ends[0].lost:
                wire.snap(self.loop.time())

    def sendto(self, name: str, source: Address, data: bytes, address: Address) -> None:
        there = self.hosts.get(address, "")
        if self.silent(name, there) or self.chance.random() < self.loses:
            return
        self.loop.call_later(self.delay(name, there), self.arrive, source, data, address)

    def arrive(self, source: Address, data: bytes, address: Address) -> None:
        if address in self.datagram:
            self.datagram[address][1].datagram_received(data, source)


class _Datagrams(asyncio.DatagramTransport):
    def __init__(self, net: Network, name: str, address: Address) -> None:
        super().__init__()
        self.net, self.name, self.address = net, name, address

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.net.sendto(self.name, self.address, bytes(data), addr)

    def close(self) -> None:
        self.net.datagram.pop(self.address, None)


class Hosted:
    """The network as one host has it: `onyxpost.runtime.transport.Transport`."""

    def __init__(self, net: Network, name: str) -> None:
        self.net, self.name = net, name
        self.stop: Callable[[], None] = lambda: None
        self.reread: Callable[[], None] = lambda: None

    def clock(self) -> float:
        return EPOCH + self.monotonic()

    def monotonic(self) -> float:
        return self.net.loop.time() * 1000.0

    async def listen(self, serve: ConnectionHandler, address: Address, limit: int, accepts: int) -> Listening:
        if address in self.net.listeners:
            raise OSError(f"{address} is taken")
        self.net.hosts[address] = self.name
        listener = self.net.listeners[address] = Listening(self.net, address, serve, limit)
        return listener

    async def dial(self, address: Address, limit: int) -> DialedConnection:
        return await self.net.dial(self.name, address, limit)

    def unread(self, transport: asyncio.BaseTransport) -> Unread:
        assert isinstance(transport, End)
        if transport.shut or transport.heard_all:
            return Unread.END
        return Unread.BYTES if transport.waiting else Unread.NOTHING

    async def open_datagram_endpoint(self, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        self.net.hosts[address] = self.name
        self.net.datagram[address] = self.name, protocol
        protocol.connection_made(_Datagrams(self.net, self.name, address))

    def install_signal_handlers(self, stop: Callable[[], None], reread: Callable[[], None]) -> None:
        self.stop, self.reread = stop, reread

    def ignore_signals(self) -> None:
        self.reread = lambda: None

    def freeze_startup_objects(self) -> None:
        pass

    def descriptor_limit(self) -> int:
        return 1 << 20
