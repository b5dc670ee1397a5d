"""Responses of app servers that have no length and end with their stream, over loopback.

The end of the stream completes such a response, and a reset does not. A complete response that is not
forwarded is lost for good if its request must not be repeated; a part of one that is forwarded is an answer
that no app server made.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import Enum
from typing import Any, NamedTuple

import pytest

from onyxpost.core.types import AttemptResult
from onyxpost.edge.messages import MAX_BODY_BYTES, AttemptEnded, EdgeEvent, Endpoint, SendAttempt
from tests.edge.event_loop import in_event_loop
from tests.edge.harness import (
    CLIENT_REQUEST,
    DEPLOYMENT_SETTINGS,
    RunningNode,
    encode_request,
    new_upstream_pool,
)

HEAD = b"HTTP/1.1 200 OK\r\nX-Mark: 1\r\n\r\n"
BODY = b"hello"
ABORT_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of zero: closing resets the connection
READ_BEFORE_RESET_SECONDS = 0.05  # time for the node to read what was sent
FRAGILE_FRONTEND = {"name": "pay", "aim_us": 400_000, "deadline_us": 1_200_000, "effect": "fragile"}
SETTINGS: dict[str, Any] = DEPLOYMENT_SETTINGS | {
    "grades": [*DEPLOYMENT_SETTINGS["grades"], FRAGILE_FRONTEND]
}
REQUESTS = {
    "check": encode_request(),
    "toll": encode_request("toll", Idempotency_Key="k-1", Content_Length="0"),
    "pay": encode_request("pay", X_Expires_In="900m", Content_Length="0"),
}


class Ending(Enum):
    """How an app server ends a connection after its response."""

    END_OF_STREAM = "end of stream"
    RESET_AT_ONCE = "reset at once"
    RESET_LATER = "reset later"  # after the node has read the response
    NONE = "none"


class Response(NamedTuple):
    """The bytes that an app server sends, and what it does with the connection afterwards."""

    data: bytes
    ending: Ending = Ending.END_OF_STREAM


class ClosingAppServer:
    """Answers each request with the same response and ends the connection.

    Attributes:
        received: the method and target of each request, in order.
        connection_count: number of connections accepted.
    """

    def __init__(self, response: Response) -> None:
        self.response = response
        self.received: list[bytes] = []
        self.connection_count = 0

    async def __aenter__(self) -> ClosingAppServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.received.append(head.partition(b" HTTP/")[0])
            writer.write(self.response.data)
            await writer.drain()
            await self._end(reader, writer)
        writer.close()

    async def _end(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ending = self.response.ending
        if ending is Ending.END_OF_STREAM:
            writer.write_eof()
            await reader.read()  # until the node closes, so that nothing is reset
        if ending is Ending.NONE:
            await reader.read()
        if ending is Ending.RESET_LATER:
            await asyncio.sleep(READ_BEFORE_RESET_SECONDS)
        if ending in (Ending.RESET_AT_ONCE, Ending.RESET_LATER):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_ON_CLOSE)
            writer.transport.abort()


def node_with(*servers: ClosingAppServer) -> RunningNode:
    return RunningNode(*(server.address for server in servers), settings=SETTINGS)


async def attempt_result(response: Response, timeout_ms: float = 4000.0) -> AttemptEnded:
    """Runs one attempt against a server that sends this response."""
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    pool = new_upstream_pool(ends.put_nowait)
    async with ClosingAppServer(response) as server:
        pool.start_attempt(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, timeout_ms))
        end = await asyncio.wait_for(ends.get(), 5.0)
    assert isinstance(end, AttemptEnded)
    assert (pool.connection_count, pool.idle_connections) == (0, {})  # the connection is not used again
    return end


# Guards against discarding whole answers: docs/incidents/2026-12-04-answers-without-a-length.md.
@pytest.mark.parametrize("body", [BODY, b"", b"x" * MAX_BODY_BYTES], ids=["body", "empty", "largest"])
@pytest.mark.parametrize("frontend", REQUESTS)
@in_event_loop
async def test_a_response_without_length_is_forwarded_at_the_end_of_its_stream(
    frontend: str, body: bytes
) -> None:
    async with ClosingAppServer(Response(HEAD + body)) as server, node_with(server) as edge:
        head, forwarded = await edge.send_request(REQUESTS[frontend])
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"x-mark: 1" in head.lower()
        assert forwarded == body
        assert len(server.received) == 1


@pytest.mark.parametrize("ending", [Ending.RESET_AT_ONCE, Ending.RESET_LATER])
@pytest.mark.parametrize(
    "sent", [HEAD[:-2], HEAD, HEAD + BODY[:-2], HEAD + BODY], ids=["half head", "head", "part", "all"]
)
@pytest.mark.parametrize("frontend", REQUESTS)
@in_event_loop
async def test_a_response_without_length_is_not_forwarded_after_a_reset(
    frontend: str, sent: bytes, ending: Ending
) -> None:
    async with ClosingAppServer(Response(sent, ending)) as server, node_with(server) as edge:
        head, forwarded = await edge.send_request(REQUESTS[frontend])
        assert head.split(b" ")[1] in (b"429", b"502")
        assert forwarded == b""
        if frontend == FRAGILE_FRONTEND["name"]:  # it may have run
            assert (head.split(b" ")[1], len(server.received)) == (b"502", 1)


@pytest.mark.parametrize("end", range(len(HEAD)))
@in_event_loop
async def test_a_stream_that_ends_within_the_head_is_no_response(end: int) -> None:
    assert (await attempt_result(Response(HEAD[:end]))).result is AttemptResult.LOST


@pytest.mark.parametrize(
    ("head", "result"),
    [
        (b"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\n\r\n", AttemptResult.FULL),
        (b"HTTP/1.1 503 Busy\r\n\r\n", AttemptResult.ERROR),
        (b"HTTP/1.1 500 Failed\r\n\r\n", AttemptResult.ERROR),
        (HEAD, AttemptResult.OK),
    ],
)
@pytest.mark.parametrize("body", [b"", BODY])
@in_event_loop
async def test_the_status_of_a_response_without_length_counts_as_of_any_other(
    head: bytes, body: bytes, result: AttemptResult
) -> None:
    end = await attempt_result(Response(head + body))
    assert end.result is result
    assert (end.response is not None) == (result is AttemptResult.OK)
    for ending in (Ending.RESET_AT_ONCE, Ending.RESET_LATER):
        assert (await attempt_result(Response(head + body, ending))).result is AttemptResult.LOST


@in_event_loop
async def test_a_response_without_length_or_end_stops_at_the_limit_or_the_timeout() -> None:
    too_long = HEAD + b"x" * (MAX_BODY_BYTES + 1)
    for ending in (Ending.END_OF_STREAM, Ending.NONE):
        assert (await attempt_result(Response(too_long, ending))).result is AttemptResult.LOST
    endless = Response(HEAD + BODY, Ending.NONE)
    assert (await attempt_result(endless, timeout_ms=100.0)).result is AttemptResult.EXPIRED


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 6\r\n", b"Transfer-Encoding: chunked\r\n"], ids=["length", "chunked"]
)
@in_event_loop
async def test_the_end_of_the_stream_does_not_complete_a_response_that_states_its_end(framing: bytes) -> None:
    body = b"5\r\nhello\r\n" if b"chunked" in framing else BODY
    cut = Response(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + body)
    assert (await attempt_result(cut)).result is AttemptResult.LOST
