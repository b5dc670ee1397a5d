"""A node that closes a client connection answers the requests that have arrived, and resets nothing.

A request may arrive in the same turn of the event loop in which the node closes the connection, while its
bytes are still unread in the kernel or in the stream reader.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from unittest import mock

import pytest

from onyxpost.edge import client_connections
from onyxpost.runtime.http1 import encode_message
from tests.edge.client_sockets import begin_shutdown, connect_client, connect_idle_client, read_to_end
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
)

Close = Callable[[RunningNode], object]


def close_expired(edge: RunningNode) -> None:
    for client in edge.node.clients.connections.open.values():
        client.deadline = client.deadline if client.has_unanswered_request else 0.0
    edge.node.clients.closer.close_expired()


def evict(edge: RunningNode) -> None:
    edge.node.clients.eviction.evict_connection()


def close_after_feed(close: Close, edge: RunningNode) -> Callable[[Any, bytes], None]:
    """Returns `StreamReader.feed_data` followed by a close, before the reading task runs."""
    feed = asyncio.StreamReader.feed_data

    def feed_and_close(reader: Any, data: bytes) -> None:
        feed(reader, data)
        if b"/check/" in data:
            close(edge)

    return feed_and_close


CLOSES: tuple[Close, ...] = (begin_shutdown, close_expired, evict)


@pytest.mark.parametrize("close", CLOSES)
@in_event_loop
async def test_an_unread_request_keeps_its_connection_open_and_is_answered(close: Close) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await connect_idle_client(edge)
        client.sendall(encode_request(trace="b"))  # unread in the kernel, as the event loop has not run
        close(edge)
        begin_shutdown(edge)
        assert b"hello" in await read_to_end(client)
        assert len(server.received_heads) == 2
        client.close()


@pytest.mark.parametrize("close", CLOSES)
@in_event_loop
async def test_a_buffered_request_keeps_its_connection_open_and_is_answered(close: Close) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await connect_idle_client(edge)
        with mock.patch.object(asyncio.StreamReader, "feed_data", close_after_feed(close, edge)):
            client.sendall(encode_request(trace="b"))
            await wait_until(lambda: len(server.received_heads) == 2)
        begin_shutdown(edge)
        assert b"hello" in await read_to_end(client)
        client.close()


@pytest.mark.parametrize("close", CLOSES)
@in_event_loop
async def test_a_request_after_the_close_is_not_forwarded_and_causes_no_reset(close: Close) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await connect_idle_client(edge)
        close(edge)
        client.sendall(encode_request(trace="b"))
        assert await read_to_end(client) == b""  # the client retries after the end of stream
        client.sendall(encode_request(trace="c"))
        client.close()
        await wait_until(lambda: not edge.node.clients.connections.closing)
        assert (len(server.received_heads), edge.node.clients.connections.open) == (1, {})


@in_event_loop
async def test_a_client_that_never_closes_is_aborted_and_counts_until_then() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await connect_idle_client(edge)
        node = edge.node
        in_use_before = node.descriptors.in_use_count()
        begin_shutdown(edge)
        assert (node.descriptors.in_use_count(), len(node.clients.connections.open)) == (
            in_use_before,
            0,
        )
        (closing,) = node.clients.connections.closing.values()
        assert closing.deadline <= node.clock() + client_connections.LINGER_MS
        closing.deadline = 0.0
        # The node calls `close_expired` periodically, which aborts the connection.
        await wait_until(lambda: not node.clients.connections.closing)
        assert (node.descriptors.in_use_count(), await read_to_end(client)) == (in_use_before - 1, b"")
        client.close()


@in_event_loop
async def test_a_closing_connection_with_unread_bytes_gets_one_extension() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await connect_idle_client(edge)
        begin_shutdown(edge)
        (closing,) = edge.node.clients.connections.closing.values()
        for is_kept in (True, False):
            client.sendall(b"x")
            closing.deadline = 0.0
            edge.node.clients.closer.close_expired()
            assert (closing.connection_id in edge.node.clients.connections.closing) == is_kept
        client.close()


@in_event_loop
async def test_a_closing_connection_is_aborted_when_descriptors_run_out() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = await connect_idle_client(edge)
        begin_shutdown(edge)
        with mock.patch.object(edge.node.descriptors, "in_use_count", autospec=True, return_value=1 << 30):
            upstream_count = edge.node.upstream_pool.connection_count
            assert edge.node.descriptors.has_upstream_capacity()
        assert (edge.node.clients.connections.closing, edge.node.upstream_pool.connection_count) == (
            {},
            upstream_count,
        )
        client.close()


@in_event_loop
async def test_bytes_that_arrive_with_the_last_answer_do_not_reset_it() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        client = connect_client(edge)

        def encode_after_next_request(*args: Any) -> bytes:
            client.sendall(encode_request(trace="b"))
            return encode_message(*args)

        with mock.patch("onyxpost.edge.client_http.encode_message", encode_after_next_request):
            client.sendall(encode_request(trace="a", Connection="close"))
            assert (await read_to_end(client)).endswith(b"hello")
        client.close()
        assert len(server.received_heads) == 1
