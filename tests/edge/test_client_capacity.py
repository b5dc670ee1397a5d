"""Order in which a node with few descriptors closes connections, over loopback.

With a wrong order, idle clients take the descriptors that upstream connections need, or a client with a
request is closed before one that sends nothing.
"""

from __future__ import annotations

import asyncio
from functools import partial
from unittest import mock

from onyxpost.edge import client_eviction
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
    node_fields,
)


@in_event_loop
async def test_idle_clients_leave_descriptors_for_upstream_connections() -> None:
    async with StubAppServer() as server, RunningNode(server.address, limits={"sockets": 40}) as edge:
        writers = []
        for number in range(40):  # each sends one request and stays connected
            reader, writer = await asyncio.open_connection(*edge.address)
            writers.append(writer)
            writer.write(encode_request(trace=f"t{number}"))
            assert b" 200 " in await asyncio.wait_for(reader.readuntil(b"hello"), 5.0)
            assert len(edge.node.clients.connections.open) <= 10
        for writer in writers:
            writer.close()


@in_event_loop
async def test_idle_upstream_connections_are_closed_first_when_descriptors_run_out() -> None:
    async with StubAppServer() as one, StubAppServer() as two, RunningNode(one.address, two.address) as edge:
        others = [await asyncio.open_connection(*edge.address) for _ in range(6)]
        for number, (_, writer) in enumerate(others):
            writer.write(encode_request(trace=f"other{number}"))
        assert (await edge.send_request(encode_request()))[1] == b"hello"
        for reader, writer in others:
            await reader.readuntil(b"hello")
            writer.close()
        await wait_until(lambda: len(edge.node.clients.connections.open) <= 1)
        connection_count = edge.node.upstream_pool.connection_count
        edge.reload_fields = node_fields(limits={"sockets": 8})  # less than the number of open connections
        edge.node.reload()
        _, writer = await asyncio.open_connection(*edge.address)
        await wait_until(lambda: len(edge.node.clients.connections.open) >= 2)
        assert edge.node.upstream_pool.connection_count < connection_count
        writer.close()


@in_event_loop
async def test_a_silent_client_is_evicted_before_one_that_has_sent_a_request() -> None:
    async with StubAppServer() as server, RunningNode(server.address, limits={"sockets": 8}) as edge:
        await edge.send_request(encode_request(trace="a"))  # the third client needs an eviction
        silent, _ = await asyncio.open_connection(*edge.address)
        await wait_until(lambda: len(edge.node.clients.connections.open) >= 2)
        with mock.patch.object(client_eviction, "INCOMPLETE_REQUEST_GRACE_MS", -1.0):
            _, third = await asyncio.open_connection(*edge.address)
            assert await asyncio.wait_for(silent.read(), 5.0) == b""
        assert (await edge.send_request(encode_request(trace="b")))[1] == b"hello"
        third.close()


def has_received_more_than(edge: RunningNode, request_count: int) -> bool:
    return edge.node.state_machine.requests.received_count > request_count


@in_event_loop
async def test_requests_are_accepted_past_a_quarter_of_the_descriptors() -> None:
    async with (
        StubAppServer(*[None] * 9) as server,
        RunningNode(server.address, limits={"sockets": 24}) as edge,
    ):
        writers = []
        for number in range(9):
            writers.append((await asyncio.open_connection(*edge.address))[1])
            writers[-1].write(encode_request(trace=f"t{number}"))
            await wait_until(partial(has_received_more_than, edge, number))
        for writer in writers:
            writer.close()


@in_event_loop
async def test_a_client_over_capacity_gets_a_rejection_and_no_reset() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.node.clients.listener.has_capacity = lambda: False
        reader, writer = await asyncio.open_connection(*edge.address)
        writer.write(encode_request())
        text = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        assert b"503" in text.split(b"\r\n")[0]
        assert b"retry-after" in text.lower()
        assert server.received_heads == []
