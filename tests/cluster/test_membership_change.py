"""Members that are added to and removed from a running cluster."""

import asyncio

from onyxpost.cluster.failure_detector import PeerState
from onyxpost.cluster.membership import Membership
from onyxpost.cluster.protocol import read_message
from tests.cluster.virtual_cluster import VirtualCluster, address_of, membership_of, run_scenario
from tests.stream_transports import pause_reading


def test_a_later_membership_adds_one_member_and_removes_another() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        later = membership_of(2, "n0", "n1", "n3")
        cluster.membership = later
        await cluster.start("n3")
        for name in ("n0", "n1"):
            assert cluster.members[name].update_membership(later)
            assert not cluster.members[name].update_membership(later)
            assert not cluster.members[name].update_membership(Membership(1, {}))
        await asyncio.sleep(0.01)
        assert cluster.members["n2"].established == {}  # ended without waiting for a timeout
        await asyncio.sleep(3.0)
        for name in ("n0", "n1"):
            assert cluster.members[name].state_of("n2") is PeerState.GONE
            assert cluster.members[name].state_of("n3") is PeerState.LIVE
        assert cluster.members["n0"].dialer.dial_count == 3  # the connection to n1 was kept

    assert len(run_scenario(scenario).logged("n0", "cluster membership rejected")) == 1


def test_removing_a_member_ends_the_connection_that_it_dialed() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        cluster.members["n2"].update_membership(membership_of(2, "n1", "n2"))
        await asyncio.sleep(0.01)
        assert cluster.members["n0"].state_of("n2") is PeerState.GONE

    run_scenario(scenario)


def test_a_removed_member_has_no_connections_although_others_still_dial_it() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n1"]
        member.update_membership(membership_of(2, "n0", "n2", "m9"))
        await asyncio.sleep(3.0)
        assert member.established == {}
        assert member.dialer.tasks == {}
        assert member.incarnation_of("n0") is None

    assert run_scenario(scenario).rejection_kinds("n1")[0] == "UnknownSenderError"


def test_a_member_at_the_address_of_another_member_is_rejected() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        members = cluster.membership.members | {"n1": address_of("n2")}
        cluster.members["n0"].update_membership(Membership(2, members))
        await asyncio.sleep(1.0)
        assert cluster.members["n0"].state_of("n1") is PeerState.GONE
        assert cluster.members["n0"].state_of("n2") is PeerState.LIVE

    assert run_scenario(scenario).rejection_kinds("n2")[0] == "MemberNameMismatchError"


def test_a_leaving_member_ignores_a_membership_change_and_dials_nobody() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n0"]
        dial_count = member.dialer.dial_count
        pause_reading(member.established["n1"].writer)
        leaving = asyncio.ensure_future(member.leave())
        await asyncio.sleep(0.0)
        assert not member.update_membership(membership_of(2, *cluster.names, "n9"))
        await leaving
        assert member.dialer.dial_count == dial_count
        assert cluster.members["n1"].state_of("n0") is PeerState.GONE
        await asyncio.sleep(3.0)
        assert member.dialer.dial_count == dial_count

    run_scenario(scenario)


def test_a_leaving_member_does_not_reconnect_to_a_peer_that_ended_its_connection_first() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n0"]
        dial_count = member.dialer.dial_count
        pause_reading(cluster.members["n1"].established["n0"].writer)
        await member.leave()  # takes longer than the backoff of a dial to n2
        assert list(member.established) == ["n1"]
        assert member.dialer.dial_count == dial_count

    run_scenario(scenario)


def test_a_member_that_is_added_again_may_have_an_earlier_incarnation() -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        member = cluster.members["n2"]
        later = await cluster.dial_as_n0("n2", incarnation="2000-later")
        await read_message(later.reader)
        assert member.state_of("n0") is PeerState.LIVE
        member.update_membership(membership_of(2, "n1", "n2"))
        member.update_membership(membership_of(3, "n0", "n1", "n2"))
        earlier = await cluster.dial_as_n0("n2", incarnation="1000-earlier")
        await read_message(earlier.reader)
        assert str(member.incarnation_of("n0")) == "1000-earlier"
        later.writer.close()
        earlier.writer.close()

    assert run_scenario(scenario, first=1).rejection_kinds("n2") == []
