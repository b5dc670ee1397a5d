"""Other clients of a node that waits for one slow answer after SIGTERM.

Connections that stay open could bring late requests, which would be forwarded or stay unanswered when the
node exits.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from onyxpost.edge import client_connections, client_listener
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import UPSTREAM_ANSWER, RunningNode, StubAppServer, encode_request
from tests.edge.shutdown_steps import ACCEPT_SECONDS, POST, exit_code, has_begun_request, send_sigterm


async def send_long_request(edge: RunningNode, server: StubAppServer) -> None:
    edge.writer.write(POST)
    await wait_until(lambda: server.received_heads)


async def assert_only_the_long_request_was_forwarded(edge: RunningNode, server: StubAppServer) -> None:
    server.writers[0].write(UPSTREAM_ANSWER)
    assert (await asyncio.wait_for(edge.reader.read(), 5.0)).endswith(b"hello")
    edge.writer.close()
    assert await exit_code(edge) == 0
    assert len(server.received_heads) == 1


@pytest.mark.usefixtures("short_accept_time", "long_request_timeout")
@in_event_loop
async def test_a_connection_without_a_request_by_then_is_closed() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        reader, writer = await asyncio.open_connection(*edge.address)
        await send_long_request(edge, server)
        await wait_until(lambda: len(edge.node.clients.connections.open) == 2)
        send_sigterm()
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        writer.write(encode_request(trace="late"))
        writer.close()
        await assert_only_the_long_request_was_forwarded(edge, server)


@pytest.mark.usefixtures("short_accept_time", "long_request_timeout")
@in_event_loop
async def test_a_request_that_is_incomplete_by_then_is_rejected() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        reader, writer = await asyncio.open_connection(*edge.address)
        writer.write(encode_request(trace="late")[:-2])
        await send_long_request(edge, server)
        await wait_until(lambda: has_begun_request(edge))
        send_sigterm()
        answer = await asyncio.wait_for(reader.read(), 5.0)
        assert b" 503 " in answer
        assert b"retry-after" in answer.lower()
        writer.write(b"\r\n")
        writer.close()
        await assert_only_the_long_request_was_forwarded(edge, server)


async def send_until_refused(edge: RunningNode, name: str, answers: list[bytes]) -> None:
    """Sends requests on one connection after another until the node stops listening."""
    with contextlib.suppress(OSError):
        for connection in range(10_000):
            reader, writer = await asyncio.open_connection(*edge.address)
            for number in range(10_000):
                writer.write(encode_request(trace=f"{name}-{connection}-{number}"))
                answer = await reader.read(65536)
                if not answer:
                    break  # the node had closed the connection, and the client retries on a new one
                answers.append(answer)
                if b"connection: close" in answer.lower():
                    break
            writer.close()


@pytest.mark.usefixtures("short_accept_time", "long_request_timeout")
@in_event_loop
async def test_clients_that_go_on_sending_are_answered_or_see_the_connection_close() -> None:
    answers: list[bytes] = []
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        senders = [asyncio.create_task(send_until_refused(edge, str(number), answers)) for number in range(5)]
        await wait_until(lambda: len(answers) > 20)
        edge.writer.close()
        send_sigterm()
        assert await exit_code(edge) == 0
        await asyncio.wait_for(asyncio.gather(*senders), 5.0)
        assert [answer for answer in answers if answer[9:12] not in (b"200", b"429")] == []
        assert len(answers) == edge.node.state_machine.requests.received_count


@pytest.mark.usefixtures("short_accept_time", "long_request_timeout")
@in_event_loop
async def test_more_connections_in_the_queue_than_one_turn_accepts_are_all_answered() -> None:
    original_sleep = asyncio.sleep
    clients = [socket.socket() for _ in range(3 * client_listener.MAX_ACCEPTS_PER_TURN)]

    async def connect_at_the_end_of_accepting(seconds: float) -> None:
        await original_sleep(seconds)
        if seconds == ACCEPT_SECONDS:
            for number, client in enumerate(clients):
                client.connect(edge.address)  # the connection is queued in the kernel
                client.sendall(encode_request(trace=f"late{number}"))

    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.writer.close()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("onyxpost.node.edge_node.asyncio.sleep", connect_at_the_end_of_accepting)
            send_sigterm()
            assert await exit_code(edge) == 0
        for client in clients:
            client.settimeout(1.0)
            assert b"HTTP/1.1 " in client.recv(65536)
            client.close()


@pytest.mark.usefixtures("short_accept_time", "long_request_timeout")
@in_event_loop
async def test_a_client_that_never_closes_delays_the_exit_only_shortly() -> None:
    with pytest.MonkeyPatch.context() as patch:
        async with StubAppServer() as server, RunningNode(server.address) as edge:
            await edge.send_request(encode_request())
            patch.setattr(client_connections, "LINGER_MS", 60_000.0)
            send_sigterm()
            assert await exit_code(edge) == 0
            assert await asyncio.wait_for(edge.reader.read(), 5.0) == b""
