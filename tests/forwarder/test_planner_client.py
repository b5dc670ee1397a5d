"""A forwarder's connections to planners: shutdown, reloads, and planners that do not answer."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost.edge.messages import RecordUnitsSpent, ReturnLease
from onyxpost.forwarder.cached_lease import CachedLease
from onyxpost.forwarder.planner_client import PlannerClient
from onyxpost.planner import protocol
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation import virtual_time
from tests.cluster.slow_socket import count_messages, limit_receive_buffer, send_and_read_to_end
from tests.planner.scripted_forwarder import START_SECONDS, run_planner
from tests.planner.virtual_cluster import PLAN, VirtualCluster

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.planner.planner import Planner
    from onyxpost.runtime.log_event import LogEvent


LEASE_COUNT = 1000


def make_client(cluster: VirtualCluster, log: Callable[[LogEvent], None] = lambda _: None) -> PlannerClient:
    return PlannerClient(cluster.net.host("f0"), "f0", cluster.members(), 1, lambda _: None, log)


@pytest.mark.parametrize("half_delays", [0, 1, 3], ids=["request in flight", "grant in flight", "granted"])
def test_stopping_forwarder_returns_a_lease_that_is_still_being_granted(half_delays: int) -> None:
    """A lease whose request or grant is in flight at the stop would stay leased until it expires."""

    async def main() -> None:
        cluster = VirtualCluster(1, 3, 1, PLAN)
        cluster.net.delay_seconds = lambda source, target: 0.0008  # type: ignore[method-assign]  # of this instance alone
        cluster.start()
        await asyncio.sleep(START_SECONDS)
        stopping = cluster.forwarders[0]
        for _ in range(20):
            stopping.request("c", 1)
            await asyncio.sleep(0.05)
        assert stopping.client.cache.leases
        stopping.request("other", 2)
        await asyncio.sleep(0.0004 * half_delays)
        await stopping.client.stop()
        stopping.kill()
        await asyncio.sleep(0.1)
        ledger = cluster.planner("p0").coordinator.ledger
        assert [lease for lease in ledger.leases.values() if lease.forwarder == stopping.name] == []
        cluster.stop()

    virtual_time.run(main())


def test_stopping_forwarder_returns_all_leases_while_a_planner_sends() -> None:
    """Closing a socket with unread received bytes resets it, and the planner would miss the last returns."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            limit_receive_buffer(listening)
            members = {"p0": listening.getsockname()}
            client = PlannerClient(
                SocketTransport(), "f0", members, 1, lambda event: return_lease(event), lambda log: None
            )

            def return_lease(event: Any) -> None:
                client.return_lease(ReturnLease(event.lease_id, 1))

            client.start()
            sock, _ = await loop.sock_accept(listening)
            await loop.sock_recv(sock, 4096)
            welcome = protocol.Welcome(1, "p0", "e", 1, 2000.0)
            await loop.sock_sendall(sock, protocol.encode_frame(welcome))
            while not client.writers:
                await asyncio.sleep(0)
            for local_id in range(1, LEASE_COUNT + 1):
                grant = protocol.LeaseGrant(1, local_id, 7, "p", 1, "e")
                client.cache.leases[local_id] = CachedLease.from_grant("p0", grant, 1e18)

            async def stop() -> None:
                await client.stop()
                client.close()

            stopping = loop.create_task(stop())
            for _ in range(50):  # iterations until `stop` waits for the planner
                await asyncio.sleep(0)
            revocation = protocol.LeaseRevocation(5000, "e")
            received = await send_and_read_to_end(sock, protocol.encode_frame(revocation))
            sock.close()
            await stopping
            read = protocol.read_forwarder_message
            assert await count_messages(received, read, protocol.LeaseReturn) == LEASE_COUNT

    asyncio.run(main())


def test_reload_during_the_start_leaves_one_connection_to_each_planner() -> None:
    """A reload before `start` connects to the planners; `start` must not connect to them again."""

    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        client = make_client(cluster)
        client.update_membership(cluster.members(), 2)
        client.start()
        await asyncio.sleep(3.0)
        connections = cluster.net.connections["f0"]
        assert len(connections) == 1
        assert not connections[0].ends[0].is_lost
        client.close()

    run_planner(scenario)


def test_stopping_forwarder_follows_no_membership_and_does_not_reconnect() -> None:
    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        client = make_client(cluster)
        client.start()
        await asyncio.sleep(1.0)
        stopping = asyncio.ensure_future(client.stop())
        await asyncio.sleep(0.0)
        members = {**cluster.members(), "p1": cluster.members()["p0"]}
        assert not client.update_membership(members, 2)
        await stopping
        await asyncio.sleep(1.0)  # longer than the reconnect delay
        assert planner.writers == {}
        assert len(cluster.net.connections["f0"]) == 1
        client.close()

    run_planner(scenario)


def test_only_a_planner_that_leaves_a_request_unanswered_is_reconnected() -> None:
    """If the network loses all packets, the operating system closes the connection only after minutes."""

    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        logs: list[LogEvent] = []
        client = make_client(cluster, logs.append)

        def aborted_connections() -> list[Any]:
            return [log.fields["planner"] for log in logs if log.event == "planner connection aborted"]

        client.start()
        await asyncio.sleep(1.0)
        cluster.net.is_blocked = lambda source, target: True  # type: ignore[method-assign]  # of this instance alone
        await asyncio.sleep(6.0)
        assert aborted_connections() == []
        client.record_units_spent(RecordUnitsSpent(7, "p", 3, 0))
        await asyncio.sleep(3.2)
        assert aborted_connections() == ["p0"]
        cluster.net.is_blocked = lambda source, target: False  # type: ignore[method-assign]  # of this instance alone
        await asyncio.sleep(1.5)
        assert list(client.writers) == ["p0"]
        client.close()

    run_planner(scenario, forwarders=1)
