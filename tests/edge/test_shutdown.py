"""SIGTERM at each stage of a request and of a node: what was accepted is answered, then it exits with 0."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost.edge import client_connection, client_connections, client_listener
from onyxpost.edge.discovery_client import DiscoveryClient
from onyxpost.edge.messages import SendAttempt
from onyxpost.edge.upstream_pool import UpstreamPool
from onyxpost.node import edge_node
from onyxpost.node.edge_node import Phase
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import UPSTREAM_ANSWER, RunningNode, StubAppServer, encode_request, node_fields

if TYPE_CHECKING:
    from pathlib import Path

LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60000
POST_HEAD = encode_request("toll", Idempotency_Key="k", Content_Length="5", X_Expires_In="4900m")
POST = POST_HEAD + b"12345"
ACCEPT_SECONDS = 0.05  # of accepting after SIGTERM, in place of 0.6

SIGNALS_AFTER_THE_LOOP = """
import asyncio, signal
from onyxpost.runtime.socket_transport import SocketTransport

async def main():
    net = SocketTransport()
    net.install_signal_handlers(lambda: None, lambda: None)
    net.ignore_signals()

asyncio.run(main())
for number in (signal.SIGTERM, signal.SIGHUP):
    signal.raise_signal(number)
"""


@pytest.fixture
def _short_accept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(edge_node, "ACCEPT_AFTER_STOP_SECONDS", ACCEPT_SECONDS)


@pytest.fixture
def _no_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that are slow to send a request are not disconnected for that."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_MS", 60_000.0)


def send_sigterm() -> None:
    signal.raise_signal(signal.SIGTERM)


async def stop_node(edge: RunningNode) -> None:
    """Sends SIGTERM and waits until the node has begun to leave."""
    send_sigterm()
    await wait_until(lambda: edge.program.phase is Phase.LEAVING)


async def exit_code(edge: RunningNode) -> int:
    return await asyncio.wait_for(edge.running, 5.0)


async def assert_last_answer(edge: RunningNode, body: bytes = b"hello") -> None:
    """The client gets its answer, which says that it was the last on its connection; the node exits."""
    answer = await asyncio.wait_for(edge.reader.read(), 5.0)
    assert b"connection: close" in answer.lower()
    assert answer.endswith(body)
    edge.writer.close()
    assert await exit_code(edge) == 0
    assert b"fault" not in edge.out.getvalue()


def has_begun_request(edge: RunningNode) -> bool:
    return any(client.request_started for client in edge.program.clients.connections.open.values())


# Outside of the event loop


def test_sigterm_while_the_file_is_still_being_read_exits_with_0(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    os.mkfifo(path)
    environ = {**os.environ, "EDGE_CONFIG": str(path)}
    with subprocess.Popen([sys.executable, "-m", "onyxpost", "serve"], env=environ) as process:
        write_end = None
        while write_end is None and process.poll() is None:
            with contextlib.suppress(OSError):  # not opened for reading yet
                write_end = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        process.terminate()
        if write_end is not None:
            os.close(write_end)  # a signal just before the read would not interrupt it
        assert process.wait() == 0


def test_signals_after_the_event_loop_has_ended_change_nothing() -> None:
    assert subprocess.run([sys.executable, "-c", SIGNALS_AFTER_THE_LOOP], check=False).returncode == 0


# At each stage of a request


@pytest.mark.usefixtures("_short_accept")
@pytest.mark.parametrize("missing_bytes", [30, 3], ids=["head", "body"])
@in_event_loop
async def test_a_request_that_is_half_read_is_answered(missing_bytes: int) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.writer.write(POST[:-missing_bytes])
        await wait_until(lambda: has_begun_request(edge))
        await stop_node(edge)
        edge.writer.write(POST[-missing_bytes:])
        await assert_last_answer(edge)


@pytest.mark.usefixtures("_short_accept")
@in_event_loop
async def test_a_request_that_is_not_forwarded_yet_is_answered() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        attempts: list[SendAttempt] = []
        edge.program.events.effect_handlers[SendAttempt] = attempts.append
        edge.writer.write(encode_request())
        await wait_until(lambda: attempts)
        await stop_node(edge)
        edge.program.servers.send(attempts[0])
        await assert_last_answer(edge)


@pytest.mark.usefixtures("_short_accept")
@in_event_loop
async def test_an_attempt_that_is_still_connecting_is_answered() -> None:
    is_opening = asyncio.Event()
    may_open = asyncio.Event()
    original_open = UpstreamPool.open_connection

    async def open_slowly(servers: UpstreamPool, endpoint: Any) -> Any:
        is_opening.set()
        await may_open.wait()
        return await original_open(servers, endpoint)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(UpstreamPool, "open_connection", open_slowly)
        async with StubAppServer() as server, RunningNode(server.address) as edge:
            edge.writer.write(encode_request())
            await is_opening.wait()
            await stop_node(edge)
            may_open.set()
            await assert_last_answer(edge)


@pytest.mark.usefixtures("_short_accept")
@pytest.mark.parametrize("received_bytes", [0, 40, len(UPSTREAM_ANSWER) - 2])
@in_event_loop
async def test_an_attempt_whose_answer_is_half_received_is_answered(received_bytes: int) -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.writer.write(encode_request())
        await wait_until(lambda: server.got)
        server.writers[0].write(UPSTREAM_ANSWER[:received_bytes])
        await stop_node(edge)
        server.writers[0].write(UPSTREAM_ANSWER[received_bytes:])
        await assert_last_answer(edge)


@pytest.mark.usefixtures("_short_accept")
@in_event_loop
async def test_an_answer_that_is_half_sent_to_its_client_is_completed() -> None:
    async with StubAppServer((LONG_ANSWER, False)) as server, RunningNode(server.address) as edge:
        edge.writer.transport.pause_reading()
        edge.writer.write(encode_request())
        await wait_until(
            lambda: edge.program.state_machine.requests.received_count
            and not edge.program.state_machine.unanswered_count
        )
        await stop_node(edge)
        edge.writer.transport.resume_reading()
        answer = await asyncio.wait_for(edge.reader.read(), 5.0)
        assert answer.endswith(LONG_ANSWER[-60000:])
        edge.writer.close()
        assert await exit_code(edge) == 0


@pytest.mark.usefixtures("_short_accept")
@in_event_loop
async def test_a_request_that_arrives_together_with_the_signal_is_answered() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.ask(encode_request(trace="a"))
        send_sigterm()  # the event loop finds the signal and the request in the same turn
        edge.writer.write(encode_request(trace="b"))
        await assert_last_answer(edge)
        assert len(server.got) == 2


@pytest.mark.usefixtures("_short_accept")
@in_event_loop
async def test_a_second_sigterm_and_sighups_around_it_change_nothing() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.file = node_fields(server.address, discovery="127.0.0.1:2")
        edge.writer.write(encode_request())
        await wait_until(lambda: server.got)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            signal.raise_signal(number)
        await wait_until(lambda: edge.out.getvalue().count(b'"reloaded"') == 2)
        await wait_until(lambda: edge.program.phase is not Phase.SERVING)
        send_sigterm()
        server.writers[0].write(UPSTREAM_ANSWER)
        await assert_last_answer(edge)
        assert edge.out.getvalue().count(b'"leaving"') == 1


@pytest.mark.usefixtures("_short_accept")
@in_event_loop
async def test_a_node_that_is_starting_accepts_nothing_and_exits_at_once() -> None:
    is_waiting = asyncio.Event()

    async def wait_forever(_discovery: DiscoveryClient, _timeout_ms: float) -> None:
        is_waiting.set()
        await asyncio.Event().wait()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(DiscoveryClient, "wait_for_first_answer", wait_forever)
        edge = RunningNode(("127.0.0.1", 9))
        running = asyncio.get_running_loop().create_task(edge.program.run())
        await is_waiting.wait()
        send_sigterm()
        assert await asyncio.wait_for(running, 5.0) == 0
    assert edge.program.clients.listener.server is None
    assert b"serving" not in edge.out.getvalue()


# Other clients, while the node still owes one long answer


async def send_long_request(edge: RunningNode, server: StubAppServer) -> None:
    edge.writer.write(POST)
    await wait_until(lambda: server.got)


async def assert_only_the_long_request_was_forwarded(edge: RunningNode, server: StubAppServer) -> None:
    server.writers[0].write(UPSTREAM_ANSWER)
    assert (await asyncio.wait_for(edge.reader.read(), 5.0)).endswith(b"hello")
    edge.writer.close()
    assert await exit_code(edge) == 0
    assert len(server.got) == 1


@pytest.mark.usefixtures("_short_accept", "_no_request_timeout")
@in_event_loop
async def test_a_connection_without_a_request_by_then_is_closed() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        reader, writer = await asyncio.open_connection(*edge.address)
        await send_long_request(edge, server)
        await wait_until(lambda: len(edge.program.clients.connections.open) == 2)
        send_sigterm()
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        writer.write(encode_request(trace="late"))
        writer.close()
        await assert_only_the_long_request_was_forwarded(edge, server)


@pytest.mark.usefixtures("_short_accept", "_no_request_timeout")
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
    """Sends requests on one connection after another until the node does not listen any more."""
    with contextlib.suppress(OSError):
        for connection in range(10_000):
            reader, writer = await asyncio.open_connection(*edge.address)
            for number in range(10_000):
                writer.write(encode_request(trace=f"{name}-{connection}-{number}"))
                answer = await reader.read(65536)
                if not answer:
                    break  # the request crossed the close, and is sent again
                answers.append(answer)
                if b"connection: close" in answer.lower():
                    break
            writer.close()


@pytest.mark.usefixtures("_short_accept", "_no_request_timeout")
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
        assert len(answers) == edge.program.state_machine.requests.received_count


@pytest.mark.usefixtures("_short_accept", "_no_request_timeout")
@in_event_loop
async def test_more_connections_in_the_queue_than_one_turn_accepts_are_all_answered() -> None:
    original_sleep = asyncio.sleep
    clients = [socket.socket() for _ in range(3 * client_listener.MAX_ACCEPTS_PER_TURN)]

    async def connect_at_the_end_of_accepting(seconds: float) -> None:
        await original_sleep(seconds)
        if seconds == ACCEPT_SECONDS:
            for number, client in enumerate(clients):
                client.connect(edge.address)  # the kernel accepts it at once
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


@pytest.mark.usefixtures("_short_accept", "_no_request_timeout")
@in_event_loop
async def test_a_client_that_never_closes_delays_the_exit_only_shortly() -> None:
    with pytest.MonkeyPatch.context() as patch:
        async with StubAppServer() as server, RunningNode(server.address) as edge:
            await edge.ask(encode_request())
            patch.setattr(client_connections, "LINGER_MS", 60_000.0)
            send_sigterm()
            assert await exit_code(edge) == 0
            assert await asyncio.wait_for(edge.reader.read(), 5.0) == b""
