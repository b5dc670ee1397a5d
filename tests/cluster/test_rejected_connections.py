"""Connections that are rejected: malformed frames, wrong senders, earlier incarnations."""

import asyncio
import contextlib

import pytest

from onyxpost.cluster.failure_detector import PeerState
from onyxpost.cluster.frames import encode_frame
from onyxpost.cluster.listener import MAX_UNIDENTIFIED
from onyxpost.cluster.protocol import Hello, Payload, Ping, read_message
from tests.cluster.virtual_cluster import (
    FORGED_INCARNATION,
    READ_LIMIT,
    TOPIC,
    Received,
    VirtualCluster,
    address_of,
    hello_frame,
    run_scenario,
)

REJECTED_FIRST_FRAMES = {
    "length above the limit": ("MalformedFrameError", b"\xff\xff\xff\xff"),
    "length of zero": ("MalformedFrameError", b"\0\0\0\0"),
    "not a message": ("MalformedFrameError", b"\0\0\0\x03abc"),
    "not a hello": ("MalformedFrameError", encode_frame(Ping(1))),
    "unknown type": ("MalformedFrameError", hello_frame("n1").replace(b"hello", b"jello")),
    "other protocol version": ("ProtocolVersionError", hello_frame("n1", protocol_version=2)),
    "sender is not a member": ("UnknownSenderError", hello_frame("n1", sender="n9")),
    "addressed to another member": ("MemberNameMismatchError", hello_frame("n2")),
    "dialed by the higher name": ("WrongDialerError", hello_frame("n1", sender="n2")),
    "earlier incarnation": ("StaleIncarnationError", hello_frame("n1", incarnation="9-s", dial_number=99)),
    "earlier dial": ("StaleIncarnationError", hello_frame("n1", incarnation="1001-x", dial_number=0)),
}


@pytest.mark.parametrize("case", REJECTED_FIRST_FRAMES)
def test_a_rejected_connection_is_logged_and_affects_no_other(case: str) -> None:
    kind, data = REJECTED_FIRST_FRAMES[case]

    async def scenario(cluster: VirtualCluster) -> None:
        dialed = await cluster.dial_without_hello("n1")
        dialed.writer.write(data)
        async with asyncio.timeout(0.5):
            with contextlib.suppress(ConnectionResetError):
                assert await dialed.reader.read(-1) == b""
        assert cluster.members["n0"].send("n1", TOPIC, b"still")
        await asyncio.sleep(0.1)

    cluster = run_scenario(scenario)
    assert cluster.rejection_kinds("n1") == [kind]
    assert cluster.logged("n1", "cluster connection rejected")[0]["remedy"]
    assert Received("n1", "n0", TOPIC, b"still") in cluster.received
    assert cluster.logged("n1", "cluster peer gone") == []


def test_a_later_incarnation_replaces_the_connection_and_the_earlier_one_is_rejected() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        earlier = cluster.members["n0"]
        dialed = await cluster.dial_as_n0("n1")
        await read_message(dialed.reader)
        assert cluster.members["n1"].incarnation_of("n0") == FORGED_INCARNATION
        dialed.writer.write(encode_frame(Payload(TOPIC, b"new")))
        await asyncio.sleep(2.5)
        assert earlier.state_of("n1") is PeerState.GONE
        assert cluster.members["n1"].incarnation_of("n0") == FORGED_INCARNATION

    cluster = run_scenario(scenario)
    assert Received("n1", "n0", TOPIC, b"new") in cluster.received
    assert cluster.rejection_kinds("n1")[0] == "StaleIncarnationError"


def test_a_second_hello_ends_the_connection() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        dialed = await cluster.dial_as_n0("n2")
        await read_message(dialed.reader)
        dialed.writer.write(hello_frame("n2", dial_number=2))
        await asyncio.sleep(0.1)
        assert cluster.members["n2"].state_of("n0") is PeerState.GONE

    assert run_scenario(scenario, first=1).rejection_kinds("n2") == ["MalformedFrameError"]


def test_the_later_dial_of_one_incarnation_is_kept() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        later = await cluster.dial_as_n0("n2", dial_number=2)
        earlier = await cluster.dial_as_n0("n2", dial_number=1)
        await asyncio.sleep(0.1)
        earlier.writer.write(encode_frame(Payload(TOPIC, b"early")))
        later.writer.write(encode_frame(Payload(TOPIC, b"late")))
        await asyncio.sleep(0.1)

    cluster = run_scenario(scenario, first=1)
    assert [message.body for message in cluster.received] == [b"late"]


def test_a_server_that_answers_with_another_name_is_rejected() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        async def answer_as_n2(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            hello = await read_message(reader)
            assert isinstance(hello, Hello)
            writer.write(hello_frame("n0", sender="n2", dial_number=hello.dial_number))
            with contextlib.suppress(ConnectionResetError):
                await reader.read(-1)
            writer.close()

        cluster.kill("n1")
        await cluster.network.host("n1").listen(answer_as_n2, address_of("n1"), READ_LIMIT, 1)
        incarnation = cluster.members["n0"].incarnation_of("n2")
        await asyncio.sleep(5.0)
        assert cluster.members["n0"].incarnation_of("n2") == incarnation

    assert run_scenario(scenario).rejection_kinds("n0")[0] == "MemberNameMismatchError"


def test_a_message_read_late_from_a_replaced_connection_is_not_delivered() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n1"]
        replaced = member.established["n0"]
        dialed = await cluster.dial_as_n0("n1")
        await asyncio.sleep(0.1)
        member.handle_message(replaced, Payload(TOPIC, b"old"))
        dialed.writer.close()

    assert run_scenario(scenario).received == []


def test_connections_without_a_hello_and_their_log_lines_are_limited() -> None:
    unidentified_count = 0

    async def scenario(cluster: VirtualCluster) -> None:
        nonlocal unidentified_count
        unidentified = cluster.members["n1"].listener.unidentified
        dialed_connections = [await cluster.dial_without_hello("n1") for _ in range(3 * MAX_UNIDENTIFIED)]
        unidentified_count = len(unidentified)
        for _ in range(200):
            dialed = await cluster.dial_without_hello("n1")
            dialed.writer.write(b"\xff" * 64)
        await asyncio.sleep(1.5)
        assert len(unidentified) == 0
        assert cluster.states_seen_by("n1") == {PeerState.LIVE}
        for dialed in dialed_connections:
            dialed.writer.close()

    cluster = run_scenario(scenario)
    assert unidentified_count <= MAX_UNIDENTIFIED + 1
    assert len(cluster.rejection_kinds("n1")) <= 2
    assert cluster.members["n1"].statistics.rejected >= 200
