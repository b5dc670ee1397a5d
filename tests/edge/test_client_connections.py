"""Clients and an edge node that close on each other: what has arrived counts, read or not."""

import asyncio
import socket
import struct
from collections.abc import Callable
from random import Random
from typing import Any
from unittest import mock

import pytest

from onyxpost.edge import client_connections, client_http
from onyxpost.edge.clients import build_clients
from onyxpost.edge.messages import EdgeEvent
from onyxpost.simulation import virtual_time
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
)

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


def dial(edge: RunningNode) -> socket.socket:
    """A client whose bytes and close the edge's loop finds only once it runs again."""
    client = socket.create_connection(edge.address[:2])
    client.settimeout(5.0)
    return client


async def heard(client: socket.socket) -> bytes:
    """All up to its end; raises ConnectionResetError if that is no orderly one."""
    client.setblocking(False)
    text = b""
    async with asyncio.timeout(5.0):
        while data := await asyncio.get_running_loop().sock_recv(client, 65536):
            text += data
    client.settimeout(5.0)
    return text


async def waiting(edge: RunningNode, server: StubAppServer) -> tuple[socket.socket, int]:
    client = dial(edge)
    client.sendall(encode_request("toll", Idempotency_Key="k", X_Expires_In="4900m"))
    await wait_until(lambda: server.got)
    ((number, _),) = [item for item in edge.program.clients.connections.open.items() if item[1].awaits_answer]
    return client, number


@pytest.mark.parametrize("how", ["close", "reset", "half", "bytes ahead", "bytes ahead of a reset"])
@in_event_loop
async def test_a_disconnect_is_seen_before_the_loop_has_read_it(how: str) -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        client, number = await waiting(edge, server)
        there = edge.program.clients.connections.is_waiting
        assert (there(number), there(number + 9)) == (True, False)
        if "ahead" in how:
            client.sendall(encode_request(trace="ahead"))
            assert there(number)  # it may still read its answer
        if "reset" in how:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if how == "half":
            client.shutdown(socket.SHUT_WR)
        else:
            client.close()
        assert not there(number)
        await wait_until(lambda server=server: server.closed.is_set())  # its attempt too
        assert (there(number), edge.program.state_machine.unanswered_count) == (False, 0)
        client.close()


@in_event_loop
async def test_a_client_with_its_answer_no_longer_waits() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.ask(encode_request())
        assert [
            edge.program.clients.connections.is_waiting(number)
            for number in edge.program.clients.connections.open
        ] == [False]


def test_on_the_virtual_network_a_disconnect_is_seen_once_it_has_arrived() -> None:
    async def main() -> list[bool]:
        net, asked = virtual_time.Network(Random("net")), asyncio.Event()
        deployment: Any = RunningNode(("127.0.0.1", 9)).program.config.deployment
        host = net.host("edge")

        def post(value: EdgeEvent) -> None:
            asked.set()

        clients = build_clients(deployment, host, post, lambda: True, lambda: True, print)
        await clients.listener.listen(("edge", 80))
        seen = []
        for reset in (False, True):
            asked.clear()
            _, writer, *_ = await net.host("client").dial(("edge", 80), 1000)
            writer.write(encode_request())
            await asked.wait()
            number = clients.listener.accepted_count
            seen.append(clients.connections.is_waiting(number))
            clients.connections.open[number].writer.transport.pause_reading()  # as if the loop were late
            if reset:
                writer.transport.abort()
            else:
                writer.close()
            await asyncio.sleep(0.1)
            seen.append(clients.connections.is_waiting(number))
        clients.listener.close()
        return seen

    assert virtual_time.run(main()) == [True, False, True, False]


Close = Callable[[RunningNode], object]


def leave(edge: RunningNode) -> None:
    edge.program.clients.closer.begin_shutdown()


def sweep(edge: RunningNode) -> None:
    for client in edge.program.clients.connections.open.values():
        client.deadline = client.deadline if client.awaits_answer else 0.0
    edge.program.clients.closer.close_expired()


def make_room(edge: RunningNode) -> None:
    edge.program.clients.eviction.evict_connection()


def fed(close: Close, edge: RunningNode) -> Callable[[Any, bytes], None]:
    """`StreamReader.feed_data`, and a close before the task that reads has its turn."""
    feed = asyncio.StreamReader.feed_data

    def then_close(reader: Any, data: bytes) -> None:
        feed(reader, data)
        if b"/check/" in data:
            close(edge)

    return then_close


CLOSES: tuple[Close, ...] = (leave, sweep, make_room)


async def rested(edge: RunningNode) -> socket.socket:
    edge.writer.close()  # the one client is this one
    client = dial(edge)
    client.sendall(encode_request(trace="a"))
    client.setblocking(False)
    text = b""
    while not text.endswith(b"hello"):
        text += await asyncio.get_running_loop().sock_recv(client, 65536)
    client.settimeout(5.0)
    await wait_until(lambda: len(edge.program.clients.connections.open) == 1)
    return client


@pytest.mark.parametrize("close", CLOSES)
@in_event_loop
async def test_an_unread_request_keeps_its_connection_open_and_is_answered(close: Close) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await rested(edge)
        client.sendall(encode_request(trace="b"))  # in the kernel: the loop has not run
        close(edge)
        leave(edge)
        assert b"hello" in await heard(client)
        assert len(server.got) == 2
        client.close()


@pytest.mark.parametrize("close", CLOSES)
@in_event_loop
async def test_a_buffered_request_keeps_its_connection_open_and_is_answered(close: Close) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await rested(edge)
        with mock.patch.object(asyncio.StreamReader, "feed_data", fed(close, edge)):
            client.sendall(encode_request(trace="b"))
            await wait_until(lambda server=server: len(server.got) == 2)
        leave(edge)
        assert b"hello" in await heard(client)
        client.close()


@pytest.mark.parametrize("close", CLOSES)
@in_event_loop
async def test_a_request_after_the_close_is_not_forwarded_and_causes_no_reset(close: Close) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await rested(edge)
        close(edge)
        client.sendall(encode_request(trace="b"))
        assert await heard(client) == b""  # its client sends it once more
        client.sendall(encode_request(trace="c"))
        client.close()
        await wait_until(lambda edge=edge: not edge.program.clients.connections.closing)
        assert (len(server.got), edge.program.clients.connections.open) == (1, {})


@in_event_loop
async def test_a_client_that_never_closes_is_aborted_and_counts_until_then() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await rested(edge)
        program = edge.program
        held = program.descriptors.in_use()
        leave(edge)
        assert (program.descriptors.in_use(), len(program.clients.connections.open)) == (held, 0)
        (parting,) = program.clients.connections.closing.values()
        assert parting.deadline <= program.clock() + client_connections.LINGER_MS
        parting.deadline = 0.0
        await wait_until(lambda: not program.clients.connections.closing)  # the sweep's
        assert (program.descriptors.in_use(), await heard(client)) == (held - 1, b"")
        client.close()


@in_event_loop
async def test_a_closing_connection_with_unread_bytes_gets_one_extension() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await rested(edge)
        leave(edge)
        (parting,) = edge.program.clients.connections.closing.values()
        for spared in (True, False):
            client.sendall(b"x")
            parting.deadline = 0.0
            edge.program.clients.closer.close_expired()
            assert (parting.connection_id in edge.program.clients.connections.closing) == spared
        client.close()


@in_event_loop
async def test_a_closing_connection_is_aborted_when_descriptors_run_out() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await rested(edge)
        leave(edge)
        with mock.patch.object(edge.program.descriptors, "in_use", lambda: 1 << 30):
            links = edge.program.servers.connection_count
            assert edge.program.descriptors.has_server_capacity()
        assert (edge.program.clients.connections.closing, edge.program.servers.connection_count) == (
            {},
            links,
        )
        client.close()


@in_event_loop
async def test_bytes_that_arrive_with_the_last_answer_do_not_reset_it() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client, encode_message = dial(edge), client_http.encode_message

        def crossed(*args: Any) -> bytes:
            client.sendall(encode_request(trace="b"))
            return encode_message(*args)

        with mock.patch.object(client_http, "encode_message", crossed):
            client.sendall(encode_request(trace="a", Connection="close"))
            assert (await heard(client)).endswith(b"hello")
        client.close()
        assert len(server.got) == 1


@in_event_loop
async def test_tcp_nodelay_is_set_for_clients_and_servers() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.ask(encode_request())
        ((link,),) = edge.program.servers.idle_connections.values()
        (client,) = edge.program.clients.connections.open.values()
        for writer in (client.writer, link.writer):
            sock = writer.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@in_event_loop
async def test_a_client_that_reads_no_answers_is_not_read_on_for_ever() -> None:
    page = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60000
    async with StubAppServer(*[(page, False)] * 400) as server, RunningNode(server.address) as edge:
        edge.writer.close()
        await wait_until(lambda: not edge.program.clients.connections.open)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(edge.address[:2])
        asked = 0
        await wait_until(lambda: len(edge.program.clients.connections.open) == 1)
        (there,) = edge.program.clients.connections.open.values()
        async with asyncio.timeout(10.0):
            while there.connection_id in edge.program.clients.connections.open and asked < 400:
                asked += 1
                client.sendall(encode_request(trace=f"t{asked}"))
                while there.connection_id in edge.program.clients.connections.open and (
                    edge.program.state_machine.requests.received_count < asked or there.awaits_answer
                ):
                    await asyncio.sleep(0)
        assert asked < 400
        untaken = there.writer.transport.get_write_buffer_size()
        assert untaken < client_http.MAX_UNSENT_BYTES + 2 * 65536
        client.close()


@in_event_loop
async def test_clients_that_flood_and_disconnect_delay_no_other_and_leak_nothing() -> None:
    endless = encode_request()[:-2] + b"A: b\r\n" * 9000
    heaps = (encode_request("other") * 500, encode_request() * 500, b"\0" * 90000, endless)
    async with StubAppServer(*[None] * 600) as server, RunningNode(server.address) as edge:
        server.answers.clear()
        for turn in range(20):  # each comes again at once
            for number, heap in enumerate(heaps):
                client = dial(edge)
                client.setblocking(False)
                client.send(heap)
                if number % 2:
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                client.close()
            assert (await edge.ask(encode_request(trace=f"good{turn}")))[1] == b"hello"
        await wait_until(
            lambda: len(edge.program.clients.connections.open) == 1
            and not edge.program.clients.connections.closing
        )
        await wait_until(lambda: not edge.program.state_machine.requests.by_id)
        assert b"fault" not in edge.out.getvalue()
