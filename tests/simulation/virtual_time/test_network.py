"""Virtual connections keep the order of bytes, break where planned, and fail like those of real sockets."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost.simulation import virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

FAR = ("far", 1)
BUFFER_LIMIT = 1000


def run_beside_server(scenario: Callable[[virtual_time.Network, list[bytes]], Awaitable[Any]]) -> None:
    """Runs a scenario with a host "far" that answers bytes in upper case.

    The scenario gets the network and the list of chunks that the host received. The chunk b"reset" stands
    for a connection that was reset.
    """

    async def main() -> None:
        network = virtual_time.Network(Random("net"))
        received: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while data := await reader.read(100):
                    received.append(data)
                    writer.write(data.upper())
            except OSError:
                received.append(b"reset")
            writer.close()

        await network.host("far").listen(serve, FAR, BUFFER_LIMIT, 1)
        await scenario(network, received)

    virtual_time.run(main())


def test_bytes_and_the_end_of_the_stream_arrive_in_order() -> None:
    async def scenario(network: virtual_time.Network, received: list[bytes]) -> None:
        reader, writer, is_all_read, _ = await network.host("near").dial(FAR, BUFFER_LIMIT)
        assert is_all_read()
        for data in (b"a", b"b", b"c"):
            writer.write(data)
        writer.write_eof()
        assert await reader.read(-1) == b"ABC"
        assert b"".join(received) == b"abc"
        writer.close()

    run_beside_server(scenario)


def test_connection_breaks_at_the_planned_byte() -> None:
    async def scenario(network: virtual_time.Network, received: list[bytes]) -> None:
        network.planned_breaks["far"].append(virtual_time.PlannedBreak(0, 2))
        reader, writer, *_ = await network.host("near").dial(FAR, BUFFER_LIMIT)
        writer.write(b"abcdef")
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
        assert received[0] == b"ab"
        writer.close()

    run_beside_server(scenario)


def test_host_that_is_cut_off_neither_sends_nor_receives() -> None:
    async def scenario(network: virtual_time.Network, received: list[bytes]) -> None:
        reader, writer, *_ = await network.host("near").dial(FAR, BUFFER_LIMIT)
        network.cut_off.add("far")
        writer.write(b"abc")
        for waiting in (reader.read(1), network.host("near").dial(FAR, BUFFER_LIMIT)):
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(waiting, 5.0)
        assert received == []
        writer.close()

    run_beside_server(scenario)


def test_link_that_is_blocked_one_way_still_delivers_the_other_way() -> None:
    async def scenario(network: virtual_time.Network, received: list[bytes]) -> None:
        reader, writer, *_ = await network.host("near").dial(FAR, BUFFER_LIMIT)
        network.blocked_links.add(("far", "near"))
        writer.write(b"abc")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 5.0)
        assert received == [b"abc"]
        writer.close()

    run_beside_server(scenario)


def test_connect_delay_is_added() -> None:
    async def scenario(network: virtual_time.Network, _received: list[bytes]) -> None:
        network.connect_delays["far"] = 0.4
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(network.host("near").dial(FAR, BUFFER_LIMIT), 0.35)
        started_at = network.loop.time()
        _, writer, *_ = await network.host("near").dial(FAR, BUFFER_LIMIT)
        assert network.loop.time() - started_at == pytest.approx(0.402, abs=0.003)
        writer.close()

    run_beside_server(scenario)


def test_killed_host_resets_its_connections_and_refuses_new_ones() -> None:
    async def scenario(network: virtual_time.Network, _received: list[bytes]) -> None:
        reader, writer, *_ = await network.host("near").dial(FAR, BUFFER_LIMIT)
        network.kill_host("far")
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            await network.host("near").dial(FAR, BUFFER_LIMIT)

    run_beside_server(scenario)
