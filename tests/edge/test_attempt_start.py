"""The last check before an attempt's first byte, and whether its last byte has left."""

from __future__ import annotations

import asyncio
import socket
from math import inf
from typing import Any
from unittest import mock

import pytest

from onyxpost.config.address import Address
from onyxpost.core.types import AttemptResult, Idempotency
from onyxpost.edge import upstream_pool
from onyxpost.edge.messages import MAX_BODY_BYTES, AttemptEnded, EdgeEvent, Endpoint, SendAttempt
from onyxpost.runtime.transport import DialedConnection, FlowControlProtocol
from tests.edge.event_loop import in_event_loop
from tests.edge.harness import (
    CLIENT_REQUEST,
    RunningNode,
    StubAppServer,
    encode_request,
)
from tests.edge.harness import upstream_pool as create_pool
from tests.policy.gateway_host import Host


class Late:
    """Holds a node's connections back until they are let come up."""

    def __init__(self, net: Any) -> None:
        self.dial, self.asked, self.up = net.dial, asyncio.Event(), asyncio.Event()
        net.dial = self.later

    async def later(self, address: Address, limit: int) -> DialedConnection:
        self.asked.set()
        await self.up.wait()
        line: DialedConnection = await self.dial(address, limit)
        return line


async def connecting(edge: RunningNode, late: Late, **headers: str) -> socket.socket:
    """A client whose req waits for its connection to an app server."""
    client = socket.create_connection(edge.address)
    client.sendall(encode_request(**headers))
    await asyncio.wait_for(late.asked.wait(), 5.0)
    return client


async def gone(how: str) -> tuple[RunningNode, StubAppServer]:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        late = Late(edge.program.net)
        client = await connecting(edge, late)
        (held,) = edge.program.state_machine.requests.by_id.values()
        ended = asyncio.Event()
        post = edge.program.servers.post

        def seen(value: EdgeEvent) -> None:
            post(value)
            if isinstance(value, AttemptEnded):
                ended.set()

        edge.program.servers.post = seen
        may_begin = edge.program.servers.may_start

        def crossing(send: SendAttempt, left: float) -> bool:
            # Its end comes in the very turn in which the connection is up: the loop has not read it.
            if how == "reset":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            client.close()
            return may_begin(send, left)

        edge.program.servers.may_start = crossing
        late.up.set()
        await asyncio.wait_for(ended.wait(), 5.0)
        assert held.client_request.trace_id
        async with asyncio.timeout(5.0):
            while edge.program.state_machine.requests.by_id:
                await asyncio.sleep(0.001)
        return edge, server


@in_event_loop
async def test_no_attempt_starts_for_a_client_whose_disconnect_is_unread() -> None:
    for how in ("close", "reset"):
        edge, server = await gone(how)
        assert (server.got, edge.program.state_machine.requests.attempt_count) == ([], 1), how


@in_event_loop
async def test_a_retry_does_not_start_after_its_deduplication_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubAppServer((b"", True), None) as server, RunningNode(server.address) as edge:
        program = edge.program
        now = [program.clock()]
        monkeypatch.setattr(program, "clock", lambda: now[0])
        send = SendAttempt(
            7, Endpoint("s0", server.address), CLIENT_REQUEST, 900.0, begin_before=now[0] + 100.0
        )
        with mock.patch.object(program.clients, "is_waiting", lambda client: True):
            assert program.may_start_attempt(send, 900.0)
            now[0] += 100.0
            assert not program.may_start_attempt(send, 900.0)


@in_event_loop
async def test_no_attempt_starts_with_a_tick_or_less_left() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        program = edge.program
        send = SendAttempt(7, Endpoint("s0", server.address), CLIENT_REQUEST, 900.0)
        with mock.patch.object(program.clients, "is_waiting", lambda client: True):
            tick = program.config.deployment.tick_ms
            looks = [program.may_start_attempt(send, left) for left in (tick + 0.1, tick)]
            assert looks == [True, False]


@in_event_loop
async def test_no_attempt_starts_when_connecting_took_all_its_time() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    async with StubAppServer() as server:
        pool = create_pool(ends.put_nowait)
        late = Late(pool.transport)
        pool.send(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 900.0))
        await late.asked.wait()
        pool.clock = lambda: 900.0
        late.up.set()
        end = await asyncio.wait_for(ends.get(), 5.0)
        assert isinstance(end, AttemptEnded)
        assert (end.result, server.got) == (AttemptResult.UNUSED, [])


@in_event_loop
async def test_a_timeout_in_the_turn_in_which_the_last_byte_leaves_counts_as_possibly_executed() -> None:
    """Taken for never begun, a req that must not be repeated would run twice."""
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    outer: list[asyncio.Timeout] = []
    timeout = asyncio.timeout

    def kept(delay: float | None) -> asyncio.Timeout:
        outer.append(timeout(delay))
        return outer[-1]

    resumed = FlowControlProtocol.resume_writing

    def in_one_turn(flow: FlowControlProtocol) -> None:
        resumed(flow)
        outer[0]._on_timeout()  # as the loop would, had its time come in this turn

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        pool = create_pool(ends.put_nowait)
        open_ = pool.open_connection

        async def narrow(to: Endpoint) -> upstream_pool.UpstreamConnection:
            link = await open_(to)
            link.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return link

        pool.open_connection = narrow  # type: ignore[method-assign]
        asked = CLIENT_REQUEST._replace(method=b"POST", body=b"x" * MAX_BODY_BYTES)
        with mock.patch.object(upstream_pool.asyncio, "timeout", kept):
            pool.send(SendAttempt(7, Endpoint("s", listener.getsockname()), asked, 60_000.0))
            far = (await asyncio.to_thread(listener.accept))[0]
            with far, mock.patch.object(FlowControlProtocol, "resume_writing", in_one_turn):
                await asyncio.to_thread(all_of, far)
                end = await asyncio.wait_for(ends.get(), 5.0)
        assert isinstance(end, AttemptEnded)
        assert end.result is AttemptResult.EXPIRED


def all_of(far: socket.socket) -> None:
    got = b""
    while len(got) < MAX_BODY_BYTES or not got.endswith(b"x" * 1000) or got.count(b"x") < MAX_BODY_BYTES:
        got += far.recv(65536)


def test_a_retry_carries_the_end_of_its_deduplication_window() -> None:
    for effect, until in ((Idempotency.IDEMPOTENCY_KEY, 0.95 * 3000.0), (Idempotency.IDEMPOTENT, inf)):
        host = Host(effect=effect)
        first = next(d for d in host.arrive() if d[0] == "attempt")
        assert host.begin_before == inf
        began = host.now
        host.now += 10.0
        assert "attempt" in [d[0] for d in host.end(first[1], AttemptResult.LOST)]
        assert host.begin_before == began + until
