"""Messages between planners and forwarders, and a planner's handling of malformed messages."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

import pytest

from onyxpost.cluster.errors import MalformedFrameError
from onyxpost.planner import protocol
from tests.planner.virtual_cluster import VirtualCluster, run_cluster

HELLO = protocol.encode_frame(protocol.Hello(1, "f0", 1))
FORWARDERS = 6


class Outcome(NamedTuple):
    """State after raw bytes were sent to a planner on a connection of their own."""

    received: bytes
    connected_forwarders: int
    log: str


def send_raw_bytes(data: bytes) -> Outcome:
    """Sends bytes on a new connection to the planner p0, and waits until the planner closes it."""
    received = b""
    connected_forwarders = 0

    async def scenario(cluster: VirtualCluster) -> None:
        nonlocal received, connected_forwarders
        await asyncio.sleep(1.0)
        host = cluster.net.host("unidentified")
        reader, writer, *_ = await host.dial(cluster.members()["p0"], 65536)
        writer.write(data)
        async with asyncio.timeout(20.0):
            with contextlib.suppress(ConnectionResetError):
                received = await reader.read(-1)
        writer.close()
        connected_forwarders = len(cluster.planner("p0").writers)

    cluster = run_cluster(scenario, forwarders=FORWARDERS)
    return Outcome(received, connected_forwarders, cluster.logs["p0"].getvalue())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff\xff", "frame length of"),
        (b"\0\0\0\0", "frame length of 0"),
        (b"\0\0\0\x03abc", ""),
        (protocol.encode_frame(protocol.MembershipHeartbeat(1)), "first message is not a hello"),
        (protocol.encode_frame(protocol.Hello(2, "f0", 1)), "first message is not a hello"),
        (protocol.encode_frame(protocol.Hello(1, "unknown", 1)), "forwarder unknown is not listed"),
        (HELLO.replace(b"hello", b"jello"), ""),
    ],
)
def test_malformed_message_ends_only_its_connection_with_a_logged_reason(data: bytes, reason: str) -> None:
    outcome = send_raw_bytes(data)
    assert outcome.received == b""
    (line,) = [line for line in outcome.log.splitlines() if "forwarder connection closed" in line]
    assert MalformedFrameError.remedy in line
    assert reason in line
    assert outcome.connected_forwarders == FORWARDERS


def test_truncated_frame_is_ignored() -> None:
    assert send_raw_bytes(HELLO[:-2]).connected_forwarders == FORWARDERS


FORWARDER_MESSAGES = [
    protocol.Hello(1, "f", 2),
    protocol.MembershipHeartbeat(3),
    protocol.LeaseRequest(1, 2, "p", 3, 1, 4),
    protocol.UsageReport(1, 2, "e"),
    protocol.LeaseReturn(1, 2, "e"),
]
PLANNER_MESSAGES = [
    protocol.Welcome(1, "p", "e", 2, 2000.0),
    protocol.LeaseGrant(1, 2, 3, "p", 4, "e"),
    protocol.LeaseRejection(1, 2, 3.5, "no"),
    protocol.LeaseRevocation(1, "e"),
]


def reader_of(message: protocol.Message) -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    reader.feed_data(protocol.encode_frame(message))
    return reader


@pytest.mark.parametrize("message", FORWARDER_MESSAGES, ids=lambda message: type(message).__name__)
def test_forwarder_message_is_read_as_it_was_sent(message: protocol.ForwarderMessage) -> None:
    async def read() -> protocol.ForwarderMessage:
        return await protocol.read_forwarder_message(reader_of(message))

    assert asyncio.run(read()) == message


@pytest.mark.parametrize("message", PLANNER_MESSAGES, ids=lambda message: type(message).__name__)
def test_planner_message_is_read_as_it_was_sent(message: protocol.PlannerMessage) -> None:
    async def read() -> protocol.PlannerMessage:
        return await protocol.read_planner_message(reader_of(message))

    assert asyncio.run(read()) == message
