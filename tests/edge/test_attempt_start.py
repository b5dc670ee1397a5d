"""Attempts are checked right before their first byte, and it is recorded whether their last byte was sent.

Without the check, a request is executed for a client that has disconnected, or after its deduplication
window. With a wrong state of the last byte, a request that is not idempotent may be executed twice.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING, Any
from unittest import mock

import pytest

from onyxpost.core.types import AttemptResult, Idempotency
from onyxpost.edge.messages import MAX_BODY_BYTES, AttemptEnded, EdgeEvent, Endpoint, SendAttempt
from onyxpost.runtime.transport import DialedConnection, FlowControlProtocol
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import CLIENT_REQUEST, RunningNode, StubAppServer, encode_request, new_upstream_pool
from tests.policy.gateway_host import Host

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.edge.upstream_connection import UpstreamConnection
    from onyxpost.edge.upstream_pool import UpstreamPool


class DelayedDials:
    """Delays new connections to one server until `release` is called."""

    def __init__(self, transport: Any, address: Address) -> None:
        self.started = asyncio.Event()
        self._released = asyncio.Event()
        self._address = address
        self._original_dial = transport.dial
        transport.dial = self._dial

    def release(self) -> None:
        self._released.set()

    async def _dial(self, address: Address, buffer_limit_bytes: int) -> DialedConnection:
        if address == self._address:  # connections to discovery are not delayed
            self.started.set()
            await self._released.wait()
        connection: DialedConnection = await self._original_dial(address, buffer_limit_bytes)
        return connection


def remove_connect_timeout(pool: UpstreamPool) -> None:
    """Lets a dial take any time, so that a busy machine causes no further attempt."""
    pool._options = replace(pool._options, connect_timeout_ms=0.0)


async def run_until_attempt_ends(disconnect: str) -> tuple[RunningNode, StubAppServer]:
    """Runs an attempt whose client disconnects in the turn in which the attempt is connected."""
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        dials = DelayedDials(edge.node.transport, server.address)
        remove_connect_timeout(edge.node.upstream_pool)
        client = socket.create_connection(edge.address)
        client.sendall(encode_request())
        await asyncio.wait_for(dials.started.wait(), 5.0)
        (pending,) = edge.node.state_machine.requests.by_id.values()
        attempt_ended = asyncio.Event()
        original_post = edge.node.upstream_pool.post_event

        def post_event(event: EdgeEvent) -> None:
            original_post(event)
            if isinstance(event, AttemptEnded):
                attempt_ended.set()

        edge.node.upstream_pool.post_event = post_event
        original_may_start = edge.node.upstream_pool.may_start_attempt

        def may_start_after_disconnect(attempt: SendAttempt, remaining_ms: float) -> bool:
            # The event loop cannot read the client's end of stream before the attempt is checked.
            if disconnect == "reset":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            client.close()
            return original_may_start(attempt, remaining_ms)

        edge.node.upstream_pool.may_start_attempt = may_start_after_disconnect
        dials.release()
        await asyncio.wait_for(attempt_ended.wait(), 5.0)
        assert pending.client_request.trace_id
        await wait_until(lambda: not edge.node.state_machine.requests.by_id)
        return edge, server


@pytest.mark.parametrize("disconnect", ["close", "reset"])
@in_event_loop
async def test_no_attempt_starts_for_a_client_whose_disconnect_is_unread(disconnect: str) -> None:
    edge, server = await run_until_attempt_ends(disconnect)
    assert server.received_heads == []
    assert edge.node.state_machine.requests.attempt_count == 1


@in_event_loop
async def test_a_retry_does_not_start_after_its_deduplication_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubAppServer((b"", True), None) as server, RunningNode(server.address) as edge:
        node = edge.node
        now = [node.clock()]
        monkeypatch.setattr(node, "clock", lambda: now[0])
        send = SendAttempt(
            7, Endpoint("s0", server.address), CLIENT_REQUEST, 900.0, latest_start_at=now[0] + 100.0
        )
        with mock.patch.object(node.clients.connections, "is_waiting", autospec=True, return_value=True):
            assert node.may_start_attempt(send, 900.0)
            now[0] += 100.0
            assert not node.may_start_attempt(send, 900.0)


@in_event_loop
async def test_no_attempt_starts_with_a_tick_or_less_left() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        node = edge.node
        send = SendAttempt(7, Endpoint("s0", server.address), CLIENT_REQUEST, 900.0)
        with mock.patch.object(node.clients.connections, "is_waiting", autospec=True, return_value=True):
            tick = node.config.deployment.tick_ms
            decisions = [node.may_start_attempt(send, left) for left in (tick + 0.1, tick)]
            assert decisions == [True, False]


@in_event_loop
async def test_no_attempt_starts_when_connecting_used_up_its_time() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    async with StubAppServer() as server:
        pool = new_upstream_pool(ends.put_nowait)
        dials = DelayedDials(pool.transport, server.address)
        pool.start_attempt(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 900.0))
        await dials.started.wait()
        pool.clock = lambda: 900.0
        dials.release()
        end = await asyncio.wait_for(ends.get(), 5.0)
        assert isinstance(end, AttemptEnded)
        assert (end.result, server.received_heads) == (AttemptResult.UNUSED, [])


@in_event_loop
async def test_a_timeout_in_the_turn_in_which_the_last_byte_leaves_counts_as_possibly_executed() -> None:
    """If the attempt counted as never executed, a retry could execute the request twice."""
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    timeouts: list[asyncio.Timeout] = []
    original_timeout = asyncio.timeout

    def record_timeout(delay: float | None) -> asyncio.Timeout:
        timeouts.append(original_timeout(delay))
        return timeouts[-1]

    original_resume = FlowControlProtocol.resume_writing

    def resume_and_time_out(flow: FlowControlProtocol) -> None:
        original_resume(flow)
        # Simulates that the timeout expires in this turn of the event loop.
        timeouts[0]._on_timeout()  # type: ignore[attr-defined]  # private

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        pool = new_upstream_pool(ends.put_nowait)
        original_open = pool.open_connection

        async def open_with_small_buffer(endpoint: Endpoint) -> UpstreamConnection:
            connection = await original_open(endpoint)
            connection.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return connection

        pool.open_connection = open_with_small_buffer  # type: ignore[method-assign]  # replaced for this instance only
        request = CLIENT_REQUEST._replace(method=b"POST", body=b"x" * MAX_BODY_BYTES)
        with mock.patch.object(asyncio, "timeout", record_timeout):
            pool.start_attempt(SendAttempt(7, Endpoint("s", listener.getsockname()), request, 60_000.0))
            upstream = (await asyncio.to_thread(listener.accept))[0]
            with upstream, mock.patch.object(FlowControlProtocol, "resume_writing", resume_and_time_out):
                await asyncio.to_thread(receive_body, upstream)
                end = await asyncio.wait_for(ends.get(), 5.0)
        assert isinstance(end, AttemptEnded)
        assert end.result is AttemptResult.EXPIRED


def receive_body(upstream: socket.socket) -> None:
    got = b""
    while len(got) < MAX_BODY_BYTES or not got.endswith(b"x" * 1000) or got.count(b"x") < MAX_BODY_BYTES:
        got += upstream.recv(65536)


def test_a_retry_carries_the_end_of_its_deduplication_window() -> None:
    for idempotency, until in ((Idempotency.IDEMPOTENCY_KEY, 0.95 * 3000.0), (Idempotency.IDEMPOTENT, inf)):
        host = Host(idempotency=idempotency)
        first = next(d for d in host.arrive() if d[0] == "attempt")
        assert host.latest_start_at == inf
        started_at = host.now
        host.now += 10.0
        assert "attempt" in [d[0] for d in host.end(first[1], AttemptResult.LOST)]
        assert host.latest_start_at == started_at + until
