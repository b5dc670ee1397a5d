"""Helpers for tests that send SIGTERM to a running node."""

from __future__ import annotations

import asyncio
import signal

from onyxpost.node.edge_node import Phase
from tests.edge.event_loop import wait_until
from tests.edge.harness import RunningNode, encode_request

ACCEPT_SECONDS = 0.05  # time of accepting after SIGTERM, which is 0.6 s without the fixture
POST_HEAD = encode_request("toll", Idempotency_Key="k", Content_Length="5", X_Expires_In="4900m")
POST = POST_HEAD + b"12345"


def send_sigterm() -> None:
    """Sends SIGTERM to this process, which runs the node."""
    signal.raise_signal(signal.SIGTERM)


async def stop_node(edge: RunningNode) -> None:
    """Sends SIGTERM and waits until the node is in the phase `LEAVING`."""
    send_sigterm()
    await wait_until(lambda: edge.node.phase is Phase.LEAVING)


async def exit_code(edge: RunningNode) -> int:
    """Waits until a stopping node has ended and returns its exit code."""
    return await asyncio.wait_for(edge.running, 5.0)


async def assert_last_answer(edge: RunningNode, body: bytes = b"hello") -> None:
    """Asserts that the client gets an answer with `Connection: close`, and that the node exits with 0."""
    answer = await asyncio.wait_for(edge.reader.read(), 5.0)
    assert b"connection: close" in answer.lower()
    assert answer.endswith(body)
    edge.writer.close()
    assert await exit_code(edge) == 0
    assert b"fault" not in edge.log_output.getvalue()


def has_begun_request(edge: RunningNode) -> bool:
    """Returns whether the node has received a part of a request."""
    return any(client.has_partial_request for client in edge.node.clients.connections.open.values())
