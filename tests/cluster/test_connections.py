"""Delivery, backpressure and reconnection between members on a virtual clock and network."""

import asyncio
from typing import Any

import pytest

from onyxpost.cluster.connections import LEAVE_TIMEOUT_SECONDS, PeerConnections
from onyxpost.cluster.errors import FrameTooLongError
from onyxpost.cluster.failure_detector import PeerState
from onyxpost.cluster.frames import MAX_UNSENT_BYTES
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.membership import Membership
from onyxpost.cluster.protocol import MAX_BODY_BYTES, read_message
from tests.cluster.virtual_cluster import TOPIC, Received, VirtualCluster, run_scenario
from tests.stream_transports import pause_reading


def test_messages_reach_all_members_in_order_over_one_connection_per_pair() -> None:
    open_connections = 0

    async def scenario(cluster: VirtualCluster) -> None:
        nonlocal open_connections
        for name, member in cluster.members.items():
            for other in cluster.names:
                for number in range(3):
                    assert member.send(other, TOPIC, b"%d" % number) == (other != name)
        sender = cluster.members["n0"]
        assert sender.send("n1", "unregistered", b"")
        with pytest.raises(FrameTooLongError):
            sender.send("n1", TOPIC, bytes(MAX_BODY_BYTES + 10_000))
        assert sender.send("n1", TOPIC, bytes(MAX_BODY_BYTES))
        await asyncio.sleep(1.0)
        connections = [
            connection for of_host in cluster.network.connections.values() for connection in of_host
        ]
        open_connections = sum(not connection.is_broken for connection in connections) // 2
        assert cluster.states_seen_by("n0") == {PeerState.LIVE}

    cluster = run_scenario(scenario, size=5)
    bodies = [body for receiver, sender, _, body in cluster.received if (receiver, sender) == ("n1", "n0")]
    assert bodies[:3] == [b"0", b"1", b"2"]
    assert len(cluster.received) == 5 * 4 * 3 + 1
    assert open_connections == 10
    assert cluster.members["n1"].statistics.unknown_topic == 1


def test_an_error_of_a_message_handler_is_logged_and_the_connection_stays() -> None:
    def fail(*_: object) -> None:
        raise ZeroDivisionError

    async def scenario(cluster: VirtualCluster) -> None:
        cluster.members["n1"].payloads.on_message = fail
        cluster.members["n0"].send("n1", TOPIC, b"")
        await asyncio.sleep(1.0)
        assert cluster.members["n1"].state_of("n0") is PeerState.LIVE

    cluster = run_scenario(scenario)
    assert len(cluster.logged("n1", "fault")) == 1
    assert cluster.members["n1"].dialer.dial_count == 1


def test_unsent_messages_to_a_peer_that_does_not_read_are_limited_and_delay_no_other() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        dialed = await cluster.dial_as_n0("n2")
        await read_message(dialed.reader)
        pause_reading(dialed.writer)
        member = cluster.members["n2"]
        transport = member.established["n0"].writer.transport
        largest_buffer = 0
        sent_count = 0
        for _ in range(2000):
            sent_count += member.send("n0", TOPIC, bytes(1000))
            member.send("n1", TOPIC, b"")
            largest_buffer = max(largest_buffer, transport.get_write_buffer_size())
            await asyncio.sleep(0.001)
        assert MAX_UNSENT_BYTES - 2000 < largest_buffer <= MAX_UNSENT_BYTES
        assert sent_count < 300
        await asyncio.sleep(3.0)
        assert member.state_of("n0") is PeerState.GONE
        assert member.state_of("n1") is PeerState.LIVE

    cluster = run_scenario(scenario, first=1)
    assert sum(message.receiver == "n1" for message in cluster.received) == 2000
    assert cluster.rejection_kinds("n2")[0] == "PeerTimeoutError"


def test_a_killed_peer_is_gone_immediately_and_its_next_incarnation_is_connected() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        cluster.kill("n1")
        await asyncio.sleep(0.1)
        for observer in ("n0", "n2"):
            assert cluster.members[observer].state_of("n1") is PeerState.GONE
        assert not cluster.members["n0"].send("n1", TOPIC, b"")
        await asyncio.sleep(10.0)
        restarted = await cluster.start("n1")
        await asyncio.sleep(2.5)
        assert cluster.states_seen_by("n1") == {PeerState.LIVE}
        assert cluster.members["n0"].incarnation_of("n1") == restarted.incarnation
        assert cluster.members["n0"].state_of("n2") is PeerState.LIVE

    cluster = run_scenario(scenario)
    assert len(cluster.logged("n0", "cluster peer gone")) == 1  # not once per dial


def test_a_partitioned_peer_is_silent_then_gone_and_reconnects_soon() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        cluster.partition("n0", "n1")
        await asyncio.sleep(2.3)
        assert cluster.members["n0"].state_of("n1") is PeerState.SILENT
        await asyncio.sleep(1.5)
        assert cluster.members["n1"].state_of("n0") is PeerState.GONE
        assert cluster.members["n1"].state_of("n2") is PeerState.LIVE
        cluster.blocked_links.clear()
        await asyncio.sleep(3.2)
        assert cluster.states_seen_by("n0") == {PeerState.LIVE}
        assert cluster.states_seen_by("n1") == {PeerState.LIVE}

    run_scenario(scenario)


@pytest.mark.parametrize(("blocked_sender", "receiver"), [("n0", "n1"), ("n1", "n0")])
def test_a_path_that_works_one_way_only_disconnects_both_sides(blocked_sender: str, receiver: str) -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        cluster.blocked_links.add((blocked_sender, receiver))
        for _ in range(40):  # messages arrive continuously in the other direction
            cluster.members[receiver].send(blocked_sender, TOPIC, b"")
            await asyncio.sleep(0.1)
        assert cluster.members[blocked_sender].state_of(receiver) is PeerState.GONE
        assert cluster.members[receiver].state_of(blocked_sender) is PeerState.GONE

    run_scenario(scenario)


def test_a_leaving_member_delivers_its_sent_messages_and_stays_gone() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        cluster.members["n1"].send("n0", TOPIC, b"last")
        await cluster.members["n1"].leave()
        await asyncio.sleep(0.1)
        assert cluster.members["n0"].state_of("n1") is PeerState.GONE
        await asyncio.sleep(5.0)
        assert cluster.members["n0"].state_of("n1") is PeerState.GONE  # although n1 still listens
        assert cluster.members["n2"].state_of("n1") is PeerState.GONE  # n1 does not dial either

    assert Received("n0", "n1", TOPIC, b"last") in run_scenario(scenario).received


async def measure_leave_seconds(cluster: VirtualCluster, resume_after_seconds: float) -> float:
    """The time that n0 takes to leave while n1 does not read for `resume_after_seconds`."""
    loop = asyncio.get_running_loop()
    reader: Any = cluster.members["n1"].established["n0"].writer.transport
    reader.pause_reading()
    for number in range(3):
        cluster.members["n0"].send("n1", TOPIC, b"%d" % number)
    loop.call_later(resume_after_seconds, reader.resume_reading)
    started_at_seconds = loop.time()
    await cluster.members["n0"].leave()
    return loop.time() - started_at_seconds


def test_a_leaving_member_waits_for_a_peer_that_reads_within_the_timeout() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        leave_seconds = await measure_leave_seconds(cluster, LEAVE_TIMEOUT_SECONDS - 0.1)
        assert LEAVE_TIMEOUT_SECONDS - 0.1 < leave_seconds < LEAVE_TIMEOUT_SECONDS
        await asyncio.sleep(0.1)

    received = run_scenario(scenario).received
    assert [message.body for message in received if message.receiver == "n1"] == [b"0", b"1", b"2"]


def test_a_leaving_member_waits_no_longer_than_the_timeout_for_a_peer_that_does_not_read() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        leave_seconds = await measure_leave_seconds(cluster, 1.0)
        assert leave_seconds == pytest.approx(0.2, abs=0.02)

    run_scenario(scenario)


def test_the_backoff_is_reset_after_a_connection_that_lasted() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        cluster.kill("n1")
        await asyncio.sleep(10.0)
        await cluster.start("n1")
        await asyncio.sleep(6.0)
        cluster.network.reset_connections("n1")
        await asyncio.sleep(0.3)
        assert cluster.members["n0"].state_of("n1") is PeerState.LIVE

    run_scenario(scenario)


def test_a_membership_change_before_the_start_leaves_one_dial_per_peer() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        host = cluster.network.host("n0")
        member = PeerConnections(
            host, "n0", Incarnation(5000, "x"), cluster.membership, print, lambda _: None
        )
        member.update_membership(Membership(2, cluster.membership.members))
        member.start()
        await asyncio.sleep(3.0)
        assert member.dialer.dial_count == 2
        assert sorted(member.established) == ["n1", "n2"]
        member.close()

    run_scenario(scenario, first=1)
