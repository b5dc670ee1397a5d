"""A node after SIGTERM, from its last accepted connection to its exit.

Connections that are accepted while the listener closes must be answered, not reset.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import TYPE_CHECKING
from unittest import mock

from onyxpost.edge.messages import SendPeerMessage
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
)

if TYPE_CHECKING:
    import pytest


@in_event_loop
async def test_after_sigterm_accepted_and_late_requests_are_answered() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        idle_reader, idle_writer = await asyncio.open_connection(*edge.address)
        edge.writer.write(encode_request(X_Expires_In="900m"))
        idle_writer.write(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
        assert b"200 " in await idle_reader.readuntil(b"\r\n\r\n")
        await wait_until(lambda: server.received_heads)
        signal.raise_signal(signal.SIGTERM)
        assert await asyncio.wait_for(idle_reader.read(), 5.0) == b""
        idle_writer.close()
        late_reader, late_writer = await asyncio.open_connection(*edge.address)
        late_writer.write(encode_request(trace="late"))
        late_answer = await asyncio.wait_for(late_reader.read(), 5.0)
        late_writer.close()
        assert b"hello" in late_answer
        assert b"connection: close" in late_answer.lower()
        head, _ = await edge.answer()  # aborted in time, as the server does not answer
        assert head.split(b" ")[1] in (b"429", b"502")
        assert await asyncio.wait_for(edge.running, 5.0) == 0


@in_event_loop
async def test_a_client_accepted_in_the_turn_in_which_the_listener_closes_is_answered() -> None:
    accepted_turns = 0
    original_sleep = asyncio.sleep
    late_client = socket.socket()

    async def sleep_until_accepted(seconds: float) -> None:
        nonlocal accepted_turns
        if seconds != 0.6:
            await original_sleep(seconds)
            return
        late_client.connect(edge.address)  # the connection is queued in the kernel
        late_client.sendall(encode_request(trace="late"))
        next_turn = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(next_turn.set_result, None)
        await next_turn  # returns in the turn in which the listener accepts
        accepted_turns += 1

    async with StubAppServer() as server, RunningNode(server.address) as edge:
        with mock.patch("onyxpost.node.edge_node.asyncio.sleep", sleep_until_accepted):
            signal.raise_signal(signal.SIGTERM)
            assert await asyncio.wait_for(edge.running, 5.0) == 0
        assert (accepted_turns, len(server.received_heads)) == (1, 1)
        assert b"hello" in late_client.recv(65536)
        late_client.close()


@in_event_loop
async def test_a_peer_message_after_the_end_is_no_fault() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.node.close()
        await asyncio.sleep(0.01)
        edge.node.peers.send(SendPeerMessage(1, b"x"))


@in_event_loop
async def test_after_sigterm_a_request_of_a_new_connection_is_still_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("onyxpost.node.edge_node.ACCEPT_AFTER_STOP_SECONDS", 0.0)
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        reader, writer = await asyncio.open_connection(*edge.address)
        await wait_until(lambda: len(edge.node.clients.connections.open) >= 2)
        signal.raise_signal(signal.SIGTERM)
        while edge.node.phase.value != "closing":
            await asyncio.sleep(0)
        writer.write(encode_request(trace="late"))
        assert b"hello" in await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        assert await asyncio.wait_for(edge.running, 5.0) == 0
