"""Attempts that are cancelled or fail, mostly before their request is sent, over loopback.

Each of them has to end exactly once, and as never executed if no byte was sent.
"""

from __future__ import annotations

import asyncio
import socket

from onyxpost.core.types import AttemptResult
from onyxpost.edge.messages import AttemptEnded, EdgeEvent, Endpoint, SendAttempt
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    CLIENT_REQUEST,
    RunningNode,
    StubAppServer,
    encode_request,
)
from tests.edge.harness import new_upstream_pool as create_pool


@in_event_loop
async def test_a_client_that_disconnects_cancels_its_attempt() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.writer.write(encode_request("toll", Idempotency_Key="k", X_Expires_In="4900m"))
        await wait_until(lambda: server.received_heads)
        edge.writer.close()
        async with asyncio.timeout(3.0):  # less than the 4.9 s of the request
            await server.closed.wait()
            await wait_until(lambda: not edge.node.state_machine.requests.by_id)


@in_event_loop
async def test_an_attempt_cancelled_before_its_first_step_still_reports_its_end() -> None:
    ends: list[EdgeEvent] = []
    pool = create_pool(ends.append)
    pool.start_attempt(SendAttempt(7, Endpoint("s", ("127.0.0.1", 9)), CLIENT_REQUEST, 900.0))
    pool.cancel(7)
    await asyncio.sleep(0.01)
    assert ends == [AttemptEnded(7, AttemptResult.UNUSED, 0.0)]


@in_event_loop
async def test_an_attempt_that_is_connecting_is_not_written_once_its_request_is_answered() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    pool = create_pool(ends.put_nowait)
    async with StubAppServer() as server:
        pool.start_attempt(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 900.0))
        await asyncio.sleep(0)  # the attempt starts to connect
        pool.withdraw(7)
        assert await asyncio.wait_for(ends.get(), 5.0) == AttemptEnded(7, AttemptResult.UNUSED, 0.0)
        assert server.received_heads == []


@in_event_loop
async def test_a_server_that_drains_while_an_attempt_connects_receives_no_byte_of_it() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    drains: set[Endpoint] = set()
    pool = create_pool(ends.put_nowait, accepts_attempts=lambda endpoint: endpoint not in drains)
    async with StubAppServer() as server:
        pool.start_attempt(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 900.0))
        await asyncio.sleep(0)  # the attempt starts to connect
        drains.add(Endpoint("s", server.address))
        assert await asyncio.wait_for(ends.get(), 5.0) == AttemptEnded(7, AttemptResult.UNUSED, 0.0)
        assert (server.received_heads, pool.connection_count) == ([], 0)


@in_event_loop
async def test_a_server_that_cannot_be_connected_never_executed_the_request() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    pool = create_pool(ends.put_nowait, connect_timeout_ms=20.0)
    with socket.socket() as silent:  # the queue has one place, so a second connection is not established
        silent.bind(("127.0.0.1", 0))
        silent.listen(0)
        with socket.create_connection(silent.getsockname()):
            for address in (silent.getsockname(), ("127.0.0.1", 9)):
                pool.start_attempt(SendAttempt(7, Endpoint("s", address), CLIENT_REQUEST, 900.0))
                end = await asyncio.wait_for(ends.get(), 5.0)
                assert isinstance(end, AttemptEnded)
                assert end.result is AttemptResult.NO_CONNECTION
