"""Requests that are invalid, pipelined, too long or late are answered with an error, over loopback.

None of them may be forwarded, hide another request in its body, or leave its client without the error.
"""

from __future__ import annotations

import asyncio
from unittest import mock

from onyxpost.edge import client_connection
from tests.edge.event_loop import in_event_loop
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
)


@in_event_loop
async def test_an_invalid_request_is_answered_and_not_forwarded() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        for data, status in ((encode_request(X_Trace_Id=""), b"400"), (encode_request("other"), b"404")):
            assert status in (await edge.send_request(data))[0]
        long = encode_request(Content_Length="70000") + b"x" * 70000
        assert b"413" in (await edge.send_request(long))[0]
        assert server.received_heads == []


@in_event_loop
async def test_many_pipelined_invalid_requests_get_one_error_and_a_close() -> None:
    for bad in (encode_request("other"), encode_request().replace(b"/check/7?a=b", b"/healthz")):
        async with StubAppServer() as server, RunningNode(server.address) as edge:
            edge.writer.write(bad * 500)
            text = await asyncio.wait_for(edge.reader.read(), 5.0)
            assert (text.count(b"HTTP/1.1"), server.received_heads) == (1, [])


@in_event_loop
async def test_a_client_with_a_body_that_is_too_long_still_receives_the_error() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        chunked = encode_request("toll", Transfer_Encoding="chunked", Idempotency_Key="k")
        for head, body in (
            (encode_request(Content_Length="9000000"), b"x" * 9_000_000),
            (chunked, (b"9000\r\n" + b"x" * 0x9000 + b"\r\n") * 200),
        ):
            reader, writer = await asyncio.open_connection(*edge.address)
            writer.write(head + body)
            await writer.drain()
            text = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            assert (text[9:12], text.count(b"HTTP/1.1")) == (b"413", 1)


@in_event_loop
async def test_a_request_with_two_lengths_hides_no_other_in_its_body() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        hidden = encode_request(trace="hidden")
        both = encode_request(
            "toll", Idempotency_Key="k", Content_Length=str(len(hidden) + 5), Transfer_Encoding="chunked"
        )
        edge.writer.write(both + b"0\r\n\r\n" + hidden)
        text = await asyncio.wait_for(edge.reader.read(), 5.0)
        assert (text[9:12], text.count(b"HTTP/1.1"), server.received_heads) == (b"400", 1, [])


@in_event_loop
async def test_pipelined_requests_are_dropped_and_end_the_connection() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.writer.write(b"".join(encode_request(trace=f"t{i}") for i in range(300)))
        text = await asyncio.wait_for(edge.reader.read(), 5.0)
        assert (text.count(b"HTTP/1.1 200"), len(server.received_heads)) == (1, 1)
        assert b"connection: close" in text.lower()


@in_event_loop
async def test_a_client_without_a_complete_request_in_time_is_disconnected() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        with mock.patch.object(client_connection, "REQUEST_TIMEOUT_MS", 20.0):
            silent, silent_writer = await asyncio.open_connection(*edge.address)
            slow, slow_writer = await asyncio.open_connection(*edge.address)
            slow_writer.write(encode_request()[:-2])
            assert await asyncio.wait_for(silent.read(), 2.0) == b""
            assert b" 408 " in await asyncio.wait_for(slow.read(), 2.0)
        assert server.received_heads == []
        assert (await edge.send_request(encode_request()))[1] == b"hello"
        silent_writer.close()
        slow_writer.close()
