"""Responses of app servers and the reuse of their connections, over loopback.

Surplus or late bytes on a reused connection would be forwarded as the response to another request.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from onyxpost.core.types import AttemptResult
from onyxpost.edge import upstream_pool
from onyxpost.edge.messages import AttemptEnded, EdgeEvent, Endpoint, SendAttempt
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    CLIENT_REQUEST,
    UPSTREAM_ANSWER,
    RunningNode,
    StubAppServer,
    encode_request,
)
from tests.edge.harness import new_upstream_pool as create_pool

if TYPE_CHECKING:
    import pytest


@in_event_loop
async def test_a_response_is_forwarded_unchanged_and_its_connection_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        monkeypatch.setattr(upstream_pool, "MIN_IDLE_BEFORE_REUSE_MS", 0.0)
        for trace in ("a", "b"):
            head, body = await edge.send_request(encode_request(trace=trace))
            assert (head.split(b"\r\n")[0][:12], body) == (b"HTTP/1.1 200", b"hello")
            assert b"x-mark: 1" in head.lower()
        assert (len(server.received_heads), server.connection_count) == (2, 1)
        assert server.received_heads[0].startswith(b"GET /check/7?a=b HTTP/1.1\r\n")


@in_event_loop
async def test_a_truncated_or_malformed_response_is_not_forwarded() -> None:
    huge = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
    for text in (
        UPSTREAM_ANSWER[:-2],
        UPSTREAM_ANSWER.replace(b"X-Mark: 1", b"Transfer-Encoding: chunked"),
        huge,
        b"HTTP/1.1 103 Early\r\n\r\n" * 9 + UPSTREAM_ANSWER,
        b"nonsense\r\n\r\n",
        UPSTREAM_ANSWER.replace(b": 5", b": 70000") + b"x" * 69995,
    ):
        async with StubAppServer(*[(text, True)] * 9) as server, RunningNode(server.address) as edge:
            head, body = await edge.send_request(encode_request())
            assert head.split(b" ")[1] in (b"429", b"502"), text[:60]
            assert body == b""


@in_event_loop
async def test_unsolicited_bytes_do_not_answer_the_next_request() -> None:
    async with (
        StubAppServer((UPSTREAM_ANSWER + UPSTREAM_ANSWER.replace(b"hello", b"other"), False)) as server,
        RunningNode(server.address) as edge,
    ):
        assert (await edge.send_request(encode_request(trace="a")))[1] == b"hello"
        assert (await edge.send_request(encode_request(trace="b")))[1] == b"hello"
        assert server.connection_count == 2


@in_event_loop
async def test_late_bytes_on_an_idle_connection_do_not_answer_the_next_request() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.send_request(encode_request(trace="a"))
        ((connection,),) = edge.node.upstream_pool.idle_connections.values()
        connection.reader.feed_data(UPSTREAM_ANSWER.replace(b"hello", b"other"))
        assert (await edge.send_request(encode_request(trace="b")))[1] == b"hello"


@in_event_loop
async def test_bytes_right_behind_a_response_find_no_request_to_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_pool, "MIN_IDLE_BEFORE_REUSE_MS", 1e9)
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        for trace in ("a", "b"):
            assert (await edge.send_request(encode_request(trace=trace)))[1] == b"hello"
        assert server.connection_count == 2


@in_event_loop
async def test_bytes_that_the_loop_has_not_read_are_seen_before_a_request_is_written() -> None:
    pool = create_pool(print)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connection = await pool.connect(Endpoint("s", listener.getsockname()))
        with listener.accept()[0] as server_side:
            assert connection.is_input_read()
            server_side.send(UPSTREAM_ANSWER)
            assert (connection.is_unusable(), connection.is_input_read()) == (False, False)
        pool.close_connection(connection)


@in_event_loop
async def test_a_response_that_is_too_long_ends_its_attempt_at_its_head() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    pool = create_pool(ends.put_nowait)
    async with StubAppServer((UPSTREAM_ANSWER.replace(b": 5", b": 3000000000"), False)) as server:
        pool.start_attempt(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 4000.0))
        end = await asyncio.wait_for(ends.get(), 5.0)
        assert isinstance(end, AttemptEnded)
        assert end.result is AttemptResult.LOST


@in_event_loop
async def test_informational_responses_before_the_final_one_are_skipped() -> None:
    early = b"HTTP/1.1 103 Early\r\n\r\n" * 3
    async with StubAppServer((early + UPSTREAM_ANSWER, False)) as server, RunningNode(server.address) as edge:
        assert (await edge.send_request(encode_request()))[1] == b"hello"


@in_event_loop
async def test_a_new_server_at_an_old_address_inherits_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_pool, "MIN_IDLE_BEFORE_REUSE_MS", 0.0)
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    pool = create_pool(ends.put_nowait)
    async with StubAppServer() as server:
        for number, name in enumerate(("old", "old", "new")):
            pool.start_attempt(SendAttempt(number, Endpoint(name, server.address), CLIENT_REQUEST, 900.0))
            await asyncio.wait_for(ends.get(), 5.0)
        assert (server.connection_count, pool.connection_count) == (2, 2)
        pool.retire_endpoint(Endpoint("old", server.address))
        assert pool.connection_count == 1
        pool.close()


@in_event_loop
async def test_a_connection_that_the_server_closed_is_not_reused() -> None:
    async with StubAppServer((UPSTREAM_ANSWER, True)) as server, RunningNode(server.address) as edge:
        await edge.send_request(encode_request(trace="a"))
        ((connection,),) = edge.node.upstream_pool.idle_connections.values()
        await wait_until(lambda: connection.reader.at_eof())
        assert (await edge.send_request(encode_request(trace="b")))[1] == b"hello"
        assert (server.connection_count, len(server.received_heads)) == (2, 2)
