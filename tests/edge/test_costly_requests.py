"""Requests that are costly to decode delay no other client: bodies in small chunks, heads of many lines."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from onyxpost.edge.client_http import MAX_BODY_CHUNKS, MAX_EVENTS_PER_SLICE, ClientHttp
from onyxpost.edge.head_lines import MAX_HEAD_LINES
from tests.edge.event_loop import in_event_loop
from tests.edge.harness import RunningNode, StubAppServer, encode_request

CHUNKED = {"Transfer_Encoding": "chunked", "Idempotency_Key": "k"}
SMALL_CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"


@in_event_loop
@pytest.mark.parametrize(
    ("chunk_count", "status"), [(1, b"200"), (MAX_BODY_CHUNKS, b"200"), (MAX_BODY_CHUNKS + 1, b"413")]
)
async def test_a_body_in_too_many_chunks_is_rejected(chunk_count: int, status: bytes) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        body = SMALL_CHUNK * chunk_count + LAST_CHUNK
        assert status in (await edge.send_request(encode_request("toll", **CHUNKED) + body))[0]


@in_event_loop
async def test_other_clients_are_served_while_a_body_in_small_chunks_is_decoded() -> None:
    # Guards against usual requests without an answer while bad clients send bodies in chunks of one byte.
    turns_between_slices = 0
    decode_slice = ClientHttp.decode_slice
    slice_turns: list[int] = []

    async def count_turns() -> None:
        nonlocal turns_between_slices
        while True:
            turns_between_slices += 1
            await asyncio.sleep(0)

    def record_turn(http: ClientHttp, connection: object) -> None:
        slice_turns.append(turns_between_slices)
        decode_slice(http, connection)  # type: ignore[arg-type]

    async with StubAppServer() as server, RunningNode(server.address) as edge:
        counting = asyncio.get_running_loop().create_task(count_turns())
        with mock.patch.object(ClientHttp, "decode_slice", record_turn):
            bad_connections = [await asyncio.open_connection(*edge.address) for _ in range(3)]
            for _, writer in bad_connections:
                writer.write(encode_request("toll", **CHUNKED) + SMALL_CHUNK * 2 * MAX_BODY_CHUNKS)
            for reader, writer in bad_connections:
                assert b"413" in await asyncio.wait_for(reader.read(), 5.0)
                writer.close()
        counting.cancel()
    assert len(slice_turns) >= 3 * (MAX_BODY_CHUNKS // MAX_EVENTS_PER_SLICE - 1)
    assert len(set(slice_turns)) == len(slice_turns)  # never two slices in one turn, of all connections


@in_event_loop
@pytest.mark.parametrize("piece_bytes", [10_000, 7])
async def test_a_head_of_too_many_lines_is_rejected_before_it_is_decoded(piece_bytes: int) -> None:
    # Guards against usual requests without an answer while bad clients send heads of many short fields.
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        reader, writer = await asyncio.open_connection(*edge.address)
        data = encode_request()[:-2] + b"a:1\r\n" * MAX_HEAD_LINES
        for start in range(0, len(data), piece_bytes):
            writer.write(data[start : start + piece_bytes])
            await asyncio.sleep(0)
        assert b" 431 " in await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        assert server.received_heads == []


@in_event_loop
async def test_lines_of_a_body_do_not_count_as_lines_of_the_head() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        body = b"\n" * 2 * MAX_HEAD_LINES
        head = encode_request("toll", Idempotency_Key="k", Content_Length=str(len(body)))
        lines = b"a:1\r\n" * (MAX_HEAD_LINES - head.count(b"\n") + 1)
        assert b" 200 " in (await edge.send_request(head[:-2] + lines + b"\r\n" + body))[0]


@in_event_loop
async def test_of_too_many_incomplete_bodies_the_oldest_is_rejected() -> None:
    # Guards against a process that exceeds its memory when many clients stop half way through a large body.
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.node.clients.memory.account.limit_bytes = 255_000  # two such bodies, one of them passed on
        connections = []
        for number in range(3):
            connections.append(await asyncio.open_connection(*edge.address))
            head = encode_request("toll", f"t{number}", Idempotency_Key="k", Content_Length="60001")
            connections[-1][1].write(head + b"x" * 60_000)
            await asyncio.sleep(0.05)
        assert b" 503 " in await asyncio.wait_for(connections[0][0].read(), 1.0)
        for reader, writer in connections[1:]:
            writer.write(b"x")
            assert b" 200 " in await asyncio.wait_for(reader.readuntil(b"\r\n"), 1.0)
        for _, writer in connections:
            writer.close()


@in_event_loop
async def test_a_request_that_memory_cannot_take_is_rejected_once_with_input_behind_it() -> None:
    # Guards against an exception for each such request, whose log lines delay all other clients.
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.node.clients.memory.account.limit_bytes = 12_000  # a connection, and no request
        edge.writer.write(encode_request() * 3)
        answer = await asyncio.wait_for(edge.reader.read(), 5.0)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert answer.count(b"HTTP/1.1") == 1
        assert b"fault" not in edge.log_output.getvalue()
        assert server.received_heads == []
