"""The fault proxy applies the faults of a link to bytes and datagrams."""

from __future__ import annotations

import asyncio
import contextlib
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import pytest

from onyxpost.simulation.free_ports import ANY_PORT, LOOPBACK
from onyxpost.simulation.multiprocess.fault_proxy import FaultProxy
from onyxpost.simulation.multiprocess.link import NO_FAULT, LinkBehavior, LinkTable
from onyxpost.simulation.multiprocess.tcp_proxy import Transfer, TransferStage
from tests.edge.event_loop import in_event_loop, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from onyxpost.config.address import Address

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time

CUT = LinkBehavior(cut=True)
STALL = LinkBehavior(stall=True)


class Observation(NamedTuple):
    """Bytes that the proxy reported to its observer."""

    source: str
    data: bytes
    stage: TransferStage


class Connection(NamedTuple):
    """Both ends of a proxied connection from `a` to `b`."""

    client_reader: asyncio.StreamReader
    client_writer: asyncio.StreamWriter
    server_reader: asyncio.StreamReader
    server_writer: asyncio.StreamWriter


class ProxiedPair:
    """A proxy between the endpoints `a` and `b`; `b` listens."""

    def __init__(self) -> None:
        self.addresses: dict[str, Address] = {}
        self.observations: list[Observation] = []
        self.proxy = FaultProxy(self.addresses.get, self._observe, Random(1))
        self.accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[ProxiedPair]:
        """Listens at `b`, and closes the proxy and the listener at the end."""
        listener = await asyncio.start_server(
            lambda reader, writer: self.accepted.put_nowait((reader, writer)), LOOPBACK, 0
        )
        self.addresses["b/fleet"] = listener.sockets[0].getsockname()
        try:
            yield self
        finally:
            await self.proxy.close()
            listener.close()

    async def connect(self) -> Connection:
        """Connects `a` to `b`."""
        address = await self.proxy.tcp.open("a", "b/fleet")
        reader, writer = await asyncio.open_connection(*address)
        return Connection(reader, writer, *await self.accepted.get())

    async def wait_for(self, data: bytes) -> None:
        """Waits until the proxy has received these bytes from `a`."""
        observation = Observation("a", data, TransferStage.RECEIVED)
        await wait_until(lambda: observation in self.observations)

    def forwarded_from_a(self) -> list[Observation]:
        """Returns the bytes from `a` that the proxy forwarded."""
        return [
            observation
            for observation in self.observations
            if observation.source == "a" and observation.stage is TransferStage.FORWARDED
        ]

    def _observe(self, transfer: Transfer) -> None:
        self.observations.append(Observation(transfer.source, transfer.data, transfer.stage))


class DatagramReceiver(asyncio.DatagramProtocol):
    """Queues received datagrams with their source addresses."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[bytes, Address]] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Queues a datagram with its source address."""
        self.received.put_nowait((data, addr))


@pytest.mark.parametrize("behavior", [CUT, STALL], ids=["cut", "stall"])
@in_event_loop
async def test_impaired_direction_holds_all_bytes_until_it_heals(behavior: LinkBehavior) -> None:
    async with ProxiedPair().run() as pair:
        connection = await pair.connect()
        link = pair.proxy.links.link("a", "b")
        link.start_fault(1, behavior)
        connection.client_writer.write(b"one")
        await pair.wait_for(b"one")
        connection.server_writer.write(b"other")
        assert await connection.client_reader.readexactly(5) == b"other"
        connection.client_writer.write(b"two")
        connection.client_writer.write_eof()
        await pair.wait_for(b"two")
        assert pair.forwarded_from_a() == []
        link.end_fault(1)
        assert await connection.server_reader.read() == b"onetwo"
        connection.server_writer.close()


@in_event_loop
async def test_delays_of_two_faults_add_up_and_reset_ends_both_ends() -> None:
    async with ProxiedPair().run() as pair:
        connection = await pair.connect()
        link = pair.proxy.links.link("a", "b")
        link.start_fault(1, LinkBehavior(delay_ms=50.0))
        link.start_fault(2, LinkBehavior(delay_ms=50.0))
        started_seconds = time.monotonic()
        connection.client_writer.write(b"x")
        await connection.server_reader.readexactly(1)
        assert time.monotonic() - started_seconds > 0.099
        assert pair.proxy.tcp.reset("b", "a") == 1
        for reader in (connection.client_reader, connection.server_reader):
            with pytest.raises(ConnectionResetError):
                await reader.read()


@in_event_loop
async def test_datagrams_are_lost_held_delayed_and_duplicated() -> None:
    loop = asyncio.get_running_loop()
    async with ProxiedPair().run() as pair:
        to_b = await pair.proxy.udp.open("a", "b")
        to_a = await pair.proxy.udp.open("b", "a")
        sender, _ = await loop.create_datagram_endpoint(DatagramReceiver, local_addr=ANY_PORT)
        transport, receiver = await loop.create_datagram_endpoint(DatagramReceiver, local_addr=ANY_PORT)
        pair.addresses["b/udp"] = transport.get_extra_info("sockname")
        link = pair.proxy.links.link("a", "b")
        proxy = pair.proxy.udp.directions["a", "b"]
        for behavior, data in (
            (LinkBehavior(loss=1.0), b"lost"),
            (CUT, b"cut"),
            (STALL, b"held"),
        ):
            link.start_fault(1, behavior)
            proxy.datagram_received(data, to_b)
        link.end_fault(1)
        # Sent over a real socket, a datagram must arrive from the address to which `b` answers `a`.
        sender.sendto(b"plain", to_b)
        assert await receiver.received.get() == (b"held", to_a)
        assert await receiver.received.get() == (b"plain", to_a)
        link.start_fault(1, LinkBehavior(reordering=1.0))
        proxy.datagram_received(b"late", to_b)
        link.start_fault(1, LinkBehavior(duplication=1.0))
        proxy.datagram_received(b"twice", to_b)
        received = [(await receiver.received.get())[0] for _ in range(3)]
        assert received == [b"twice", b"twice", b"late"]
        assert receiver.received.empty()
        sender.close()
        transport.close()


def test_healed_link_has_no_fault() -> None:
    links = LinkTable()
    link = links.link("a", "b")
    link.start_fault(1, CUT)
    links.heal()
    assert link.behavior == NO_FAULT
    assert link.is_open.is_set()
