"""An asyncio event loop whose time jumps to what is due next, and a network in memory that can fail.

The edge node's own code runs on it unchanged: `onyxpost.edge.net.Net` is all that is put in its place.
"""

from __future__ import annotations

import asyncio
import selectors
from collections import defaultdict
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from onyxpost.edge import messages as m
from onyxpost.edge.net import Line, Reader, Serve
from onyxpost.lab.errors import Stuck

EPOCH = 1_000_000_000_000.0  # Unix ms at a run's start
STUCK = 200_000  # turns of the loop at one time: something goes round in circles


class _Jump(selectors.BaseSelector):
    """Waits for nothing: it moves the time on by as long as the loop would have waited."""

    def __init__(self) -> None:
        self.now = 0.0
        self.turns = 0
        self.keys: dict[Any, selectors.SelectorKey] = {}

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise Stuck("nothing is due any more")
        self.turns = 0 if timeout > 0.0 else self.turns + 1
        if self.turns > STUCK:
            raise Stuck(f"time stands still at {self.now:.6f} s")
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        # Only the loop's own pipe to itself is ever registered, and never speaks.
        key = self.keys[fileobj] = selectors.SelectorKey(fileobj, int(fileobj), events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.keys.pop(fileobj)

    def get_map(self) -> dict[Any, selectors.SelectorKey]:
        return self.keys

    def close(self) -> None:
        self.keys.clear()


class Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jump = _Jump()
        super().__init__(self.jump)
        self._clock_resolution = 1e-9  # what is due a little later is not due yet

    def time(self) -> float:
        return self.jump.now


def run(main: Awaitable[Any]) -> Any:
    loop = Loop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        loop.set_exception_handler(lambda loop, context: None)  # what is cut short here was not meant to end
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=10.0))
        asyncio.set_event_loop(None)
        loop.close()


class End(asyncio.Transport):
    """One end of a connection."""

    loop: asyncio.AbstractEventLoop

    def __init__(self, wire: Wire, name: str) -> None:
        super().__init__()
        self.wire, self.name = wire, name
        self.loop = wire.net.loop
        self.protocol: asyncio.Protocol
        self.other: End
        self.shut = self.lost = self.said_all = False
        self.paused = False
        self.waiting: list[bytes] = []  # came while reading was paused; b"" is the end
        self.sent = 0
        self.unheard = 0  # bytes said while nobody could hear
        self.max_size = 0  # as a socket's transport has

    # What the program does with it

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self.shut and not self.said_all and data:
            self.sent += len(data)
            self.wire.carry(self, bytes(data))

    def write_eof(self) -> None:
        if not self.said_all and not self.shut:
            self.said_all = True
            self.wire.carry(self, b"")

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if not self.shut:
            self.write_eof()
            self.shut = True
            self.loop.call_soon(self.ended, None)

    def abort(self) -> None:
        if not self.shut:
            self.shut = True
            self.wire.reset(self)
            self.loop.call_soon(self.ended, None)

    def is_closing(self) -> bool:
        return self.shut

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        """All that the other end has not read: no system holds a part of it here."""
        return self.wire.flying[self.other] + sum(len(data) for data in self.other.waiting) + self.unheard

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self.came(data)

    def is_reading(self) -> bool:
        return not self.paused and not self.shut

    # What happens to it

    def came(self, data: bytes) -> None:
        if self.lost or self.shut:
            return
        if self.paused:
            self.waiting.append(data)
        elif data:
            self.protocol.data_received(data)
        elif not self.protocol.eof_received():
            self.close()

    def cut(self) -> None:
        if not self.lost and not self.shut:
            self.shut = True
            self.ended(ConnectionResetError("reset"))

    def ended(self, err: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.protocol.connection_lost(err)


class Wire:
    """A connection: what one end says comes out at the other, later, up to a byte at which it may break."""

    def __init__(self, net: Network, here: str, there: str) -> None:
        self.net = net
        self.loop: asyncio.AbstractEventLoop = net.loop
        self.ends = End(self, here), End(self, there)
        self.ends[0].other, self.ends[1].other = self.ends[1], self.ends[0]
        self.breaks: dict[End, int] = {}  # after so many bytes from that end
        self.due: dict[End, float] = {self.ends[0]: 0.0, self.ends[1]: 0.0}
        self.flying: dict[End, int] = {self.ends[0]: 0, self.ends[1]: 0}
        self.broken = False

    def carry(self, end: End, data: bytes) -> None:
        if self.broken or self.net.silent(end.name, end.other.name):
            end.unheard += len(data)
            return
        end.unheard = 0
        last = self.breaks.get(end)
        if last is not None and end.sent >= last:
            part = data[: max(0, len(data) - (end.sent - last))]
            if part:
                self.deliver(end, part)
            self.snap(self.at(end))
            return
        self.deliver(end, data)

    def at(self, end: End) -> float:
        """Bytes keep their order: the loop does not, among those due at the same time."""
        self.due[end] = max(self.due[end] + 1e-7, self.loop.time() + self.net.delay(end.name, end.other.name))
        return self.due[end]

    def deliver(self, end: End, data: bytes) -> None:
        self.flying[end.other] += len(data)
        self.loop.call_at(self.at(end), self.arrive, end, data)

    def arrive(self, end: End, data: bytes) -> None:
        self.flying[end.other] -= len(data)
        end.other.came(data)

    def reset(self, end: End) -> None:
        self.loop.call_at(self.at(end), end.other.cut)

    def snap(self, when: float) -> None:
        self.broken = True
        for end in self.ends:
            self.loop.call_at(when, end.cut)


class Listening:
    """A listener in memory, with `asyncio.Server`'s way of being closed."""

    def __init__(self, net: Network, address: m.Address, serve: Serve, limit: int) -> None:
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
        self.listeners: dict[m.Address, Listening] = {}
        self.hosts: dict[m.Address, str] = {}
        self.datagram: dict[m.Address, tuple[str, asyncio.DatagramProtocol]] = {}
        self.cut_off: set[str] = set()  # hosts that are not heard and hear nobody
        self.loses = 0.0  # share of datagrams lost
        self.wires: dict[str, list[Wire]] = defaultdict(list)  # by host, either side
        # For the next connections to a host: the side that says too little, and after how many bytes.
        self.break_next: dict[str, list[tuple[int, int]]] = defaultdict(list)

    def silent(self, here: str, there: str) -> bool:
        return here in self.cut_off or there in self.cut_off

    def delay(self, here: str, there: str) -> float:
        return self.chance.uniform(0.0002, 0.002)

    def host(self, name: str) -> Hosted:
        return Hosted(self, name)

    async def dial(self, name: str, address: m.Address, limit: int) -> Line:
        await asyncio.sleep(2.0 * self.delay(name, str(address)))
        there = self.hosts.get(address, "")
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
        reader = Reader(limit=limit, loop=self.loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=self.loop)
        near.protocol = protocol
        far_reader = asyncio.StreamReader(limit=listener.limit, loop=self.loop)
        far.protocol = asyncio.StreamReaderProtocol(far_reader, listener.serve, loop=self.loop)
        far.protocol.connection_made(far)
        protocol.connection_made(near)

        def unread() -> bool:
            return not wire.flying[near] and not near.waiting and not near.lost

        return Line(reader, asyncio.StreamWriter(near, protocol, reader, self.loop), unread)

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

    def sendto(self, name: str, source: m.Address, data: bytes, address: m.Address) -> None:
        there = self.hosts.get(address, "")
        if self.silent(name, there) or self.chance.random() < self.loses:
            return
        self.loop.call_later(self.delay(name, there), self.arrive, source, data, address)

    def arrive(self, source: m.Address, data: bytes, address: m.Address) -> None:
        if address in self.datagram:
            self.datagram[address][1].datagram_received(data, source)


class _Datagrams(asyncio.DatagramTransport):
    def __init__(self, net: Network, name: str, address: m.Address) -> None:
        super().__init__()
        self.net, self.name, self.address = net, name, address

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.net.sendto(self.name, self.address, bytes(data), addr)

    def close(self) -> None:
        self.net.datagram.pop(self.address, None)


class Hosted:
    """The network as one host has it: `onyxpost.edge.net.Net`."""

    def __init__(self, net: Network, name: str) -> None:
        self.net, self.name = net, name
        self.stop: Callable[[], None] = lambda: None
        self.reread: Callable[[], None] = lambda: None

    def clock(self) -> float:
        return EPOCH + self.monotonic()

    def monotonic(self) -> float:
        return self.net.loop.time() * 1000.0

    async def listen(self, serve: Serve, address: m.Address, limit: int, accepts: int) -> Listening:
        if address in self.net.listeners:
            raise OSError(f"{address} is taken")
        self.net.hosts[address] = self.name
        listener = self.net.listeners[address] = Listening(self.net, address, serve, limit)
        return listener

    async def dial(self, address: m.Address, limit: int) -> Line:
        return await self.net.dial(self.name, address, limit)

    async def datagrams(self, protocol: asyncio.DatagramProtocol, address: m.Address) -> None:
        self.net.hosts[address] = self.name
        self.net.datagram[address] = self.name, protocol
        protocol.connection_made(_Datagrams(self.net, self.name, address))

    def signals(self, stop: Callable[[], None], reread: Callable[[], None]) -> None:
        self.stop, self.reread = stop, reread

    def deaf(self) -> None:
        self.reread = lambda: None

    def settled(self) -> None:
        pass
