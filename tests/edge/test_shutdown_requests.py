"""SIGTERM at each stage of a request: the request is answered, then the node exits with 0.

A node that exits earlier leaves clients without an answer to requests that were possibly executed.
"""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import pytest

from onyxpost.edge.messages import SendAttempt
from onyxpost.edge.upstream_pool import UpstreamPool
from onyxpost.node.edge_node import Phase
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import UPSTREAM_ANSWER, RunningNode, StubAppServer, encode_request, node_fields
from tests.edge.shutdown_steps import (
    POST,
    assert_last_answer,
    exit_code,
    has_begun_request,
    send_sigterm,
    stop_node,
)
from tests.stream_transports import pause_reading, resume_reading

LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60000
ACCEPT_SECONDS = 0.05  # time of accepting after SIGTERM, which is 0.6 s without the fixture


@pytest.mark.usefixtures("short_accept_time")
@pytest.mark.parametrize("missing_bytes", [30, 3], ids=["head", "body"])
@in_event_loop
async def test_a_request_that_is_half_read_is_answered(missing_bytes: int) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.writer.write(POST[:-missing_bytes])
        await wait_until(lambda: has_begun_request(edge))
        await stop_node(edge)
        edge.writer.write(POST[-missing_bytes:])
        await assert_last_answer(edge)


@pytest.mark.usefixtures("short_accept_time")
@in_event_loop
async def test_a_request_that_is_not_forwarded_yet_is_answered() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        attempts: list[SendAttempt] = []
        edge.node.event_processor.effect_handlers[SendAttempt] = attempts.append
        edge.writer.write(encode_request())
        await wait_until(lambda: attempts)
        await stop_node(edge)
        edge.node.upstream_pool.start_attempt(attempts[0])
        await assert_last_answer(edge)


@pytest.mark.usefixtures("short_accept_time")
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


@pytest.mark.usefixtures("short_accept_time")
@pytest.mark.parametrize("received_bytes", [0, 40, len(UPSTREAM_ANSWER) - 2])
@in_event_loop
async def test_an_attempt_whose_answer_is_half_received_is_answered(received_bytes: int) -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.writer.write(encode_request())
        await wait_until(lambda: server.received_heads)
        server.writers[0].write(UPSTREAM_ANSWER[:received_bytes])
        await stop_node(edge)
        server.writers[0].write(UPSTREAM_ANSWER[received_bytes:])
        await assert_last_answer(edge)


@pytest.mark.usefixtures("short_accept_time")
@in_event_loop
async def test_an_answer_that_is_half_sent_to_its_client_is_completed() -> None:
    async with StubAppServer((LONG_ANSWER, False)) as server, RunningNode(server.address) as edge:
        pause_reading(edge.writer)
        edge.writer.write(encode_request())
        await wait_until(
            lambda: edge.node.state_machine.requests.received_count
            and not edge.node.state_machine.unanswered_count
        )
        await stop_node(edge)
        resume_reading(edge.writer)
        answer = await asyncio.wait_for(edge.reader.read(), 5.0)
        assert answer.endswith(LONG_ANSWER[-60000:])
        edge.writer.close()
        assert await exit_code(edge) == 0


@pytest.mark.usefixtures("short_accept_time")
@in_event_loop
async def test_a_request_that_arrives_together_with_the_signal_is_answered() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.send_request(encode_request(trace="a"))
        send_sigterm()  # the event loop gets the signal and the request in the same turn
        edge.writer.write(encode_request(trace="b"))
        await assert_last_answer(edge)
        assert len(server.received_heads) == 2


@pytest.mark.usefixtures("short_accept_time")
@in_event_loop
async def test_a_second_sigterm_and_sighups_around_it_change_nothing() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.reload_fields = node_fields(server.address, discovery="127.0.0.1:2")
        edge.writer.write(encode_request())
        await wait_until(lambda: server.received_heads)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            signal.raise_signal(number)
        await wait_until(lambda: edge.log_output.getvalue().count(b'"reloaded"') == 2)
        await wait_until(lambda: edge.node.phase is not Phase.SERVING)
        send_sigterm()
        server.writers[0].write(UPSTREAM_ANSWER)
        await assert_last_answer(edge)
        assert edge.log_output.getvalue().count(b'"leaving"') == 1
