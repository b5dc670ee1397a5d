"""Events that coincide with the end, the start or the replacement of a connection."""

import asyncio
from typing import Any

import pytest

from onyxpost.cluster.failure_detector import PeerState
from onyxpost.cluster.frames import encode_frame
from onyxpost.cluster.protocol import ConnectionOrder, Payload
from tests.cluster.virtual_cluster import (
    FORGED_INCARNATION,
    READ_LIMIT,
    TOPIC,
    VirtualCluster,
    address_of,
    hello_frame,
    membership_of,
    run_scenario,
)


def test_a_message_that_arrives_as_the_connections_close_is_not_delivered() -> None:
    """The component is closed already; an acceptor, for example, would write to a closed file."""

    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n1"]
        transport: Any = member.established["n0"].writer.transport
        transport.receive(encode_frame(Payload(TOPIC, b"late")))
        member.close()
        await asyncio.sleep(0.1)

    assert run_scenario(scenario).received == []


def test_a_connection_aborted_as_its_hello_arrives_replaces_none() -> None:
    """A connection without a hello is aborted to make room for others, while its hello is received."""

    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n1"]
        incarnation = member.incarnation_of("n0")
        dialed = await cluster.dial_without_hello("n1")
        await asyncio.sleep(0.01)
        (writer,) = member.listener.unidentified
        transport: Any = writer.transport
        transport.receive(hello_frame("n1"))
        transport.abort()
        await asyncio.sleep(0.1)
        assert member.incarnation_of("n0") == incarnation
        assert member.state_of("n0") is PeerState.LIVE
        dialed.writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("hello_first", [True, False])
def test_a_hello_that_coincides_with_its_senders_removal_leaves_no_connection(*, hello_first: bool) -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n2"]
        dialed = await cluster.dial_without_hello("n2")
        await asyncio.sleep(0.01)
        (writer,) = member.listener.unidentified
        transport: Any = writer.transport
        transport.receive(hello_frame("n2"))
        if hello_first:
            await asyncio.sleep(0)  # the hello is validated
        member.update_membership(membership_of(2, "n1", "n2"))
        await asyncio.sleep(0.1)
        assert list(member.established) == ["n1"]
        assert member.state_of("n0") is PeerState.GONE
        assert len(member.listener.unidentified) == 0
        assert member.state_of("n1") is PeerState.LIVE
        dialed.writer.close()

    assert run_scenario(scenario, first=1).logged("n2", "fault") == []


def test_a_frame_truncated_at_any_byte_is_not_delivered_and_the_next_connection_is_accepted() -> None:
    frame = encode_frame(Payload(TOPIC, b"complete"))

    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n2"]
        for length in range(1, len(frame) + 1):
            dialed = await cluster.dial_as_n0("n2", dial_number=length)
            dialed.writer.write(frame[:length])
            dialed.writer.close()
            await asyncio.sleep(0.1)
            assert member.state_of("n0") is PeerState.GONE
            assert member.handshake.latest_accepted["n0"] == ConnectionOrder(FORGED_INCARNATION, length)

    cluster = run_scenario(scenario, first=1)
    assert [message.body for message in cluster.received] == [b"complete"]
    assert cluster.rejection_kinds("n2") == []


def test_leaving_does_not_wait_for_the_rest_of_a_hello() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n1"]
        hello = hello_frame("n1")
        dialed = await cluster.dial_without_hello("n1")
        dialed.writer.write(hello[:10])
        await asyncio.sleep(0.01)
        started_at_seconds = asyncio.get_running_loop().time()
        await member.leave()
        dialed.writer.write(hello[10:])
        await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - started_at_seconds < 0.1
        assert member.established == {}
        assert len(member.listener.unidentified) == 0
        member.close()

    assert run_scenario(scenario).logged("n1", "fault") == []


def test_a_reset_that_coincides_with_the_next_dial_leaves_one_connection() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n2"]
        first = await cluster.dial_as_n0("n2", dial_number=1)
        second = await cluster.network.host("n0").dial(address_of("n2"), READ_LIMIT)
        await asyncio.sleep(0.1)
        old_transport: Any = member.established["n0"].writer.transport
        new_transport: Any = next(iter(member.listener.unidentified)).transport
        old_transport.receive(encode_frame(Payload(TOPIC, b"old")))
        new_transport.receive(hello_frame("n2", dial_number=2) + encode_frame(Payload(TOPIC, b"new")))
        old_transport.reset()
        await asyncio.sleep(0.1)
        assert member.state_of("n0") is PeerState.LIVE
        assert member.handshake.latest_accepted["n0"].dial_number == 2
        assert len(member.listener.unidentified) == 0
        first.writer.close()
        second.writer.close()

    cluster = run_scenario(scenario, first=1)
    assert [message.body for message in cluster.received] == [b"new"]
