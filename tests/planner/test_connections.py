"""A planner's connections: messages in flight at a hello, a pause, a reconnect, a reload or a stop."""

from __future__ import annotations

import asyncio
import io
import socket
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from unittest import mock

import pytest

from onyxpost.planner import protocol
from onyxpost.planner.planner import MAX_EXTRA_UNIDENTIFIED, Planner
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.runtime.structured_log import StructuredLog
from tests.planner.scripted_forwarder import ScriptedForwarder, lease_request, run_planner
from tests.planner.virtual_cluster import PLAN, VirtualCluster
from tests.stream_transports import pause_reading, resume_reading

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT = protocol.MembershipHeartbeat(1)


async def send_heartbeats(forwarders: list[ScriptedForwarder], rounds: int, seconds: float) -> None:
    for _ in range(rounds):
        await asyncio.sleep(seconds)
        for forwarder in forwarders:
            forwarder.send(HEARTBEAT)


def test_request_read_with_the_hello_that_completes_the_majority_is_rejected() -> None:
    """A majority alone does not suffice: the wait for other leases begins in the next tick."""

    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        others = [await ScriptedForwarder(cluster, name).connect_with_hello() for name in ("f0", "f1")]
        await asyncio.sleep(0.3)
        last = await ScriptedForwarder(cluster, "f2").connect()
        last.send(protocol.Hello(1, "f2", 1), lease_request())
        assert await last.receive_types() == [protocol.LeaseRejection]
        assert planner.coordinator.ledger.counters.granted == 0
        assert len(others) == 2  # keeps the references, and so the connections, until here

    run_planner(scenario)


def test_heartbeats_sent_before_a_pause_make_no_majority_after_it() -> None:
    """A planner that was paused reads old heartbeats, as if they were sent now.

    Their senders may follow another membership version by now, so they must not make a majority.
    """

    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        forwarders = [
            await ScriptedForwarder(cluster, f"f{index}").connect_with_hello() for index in range(4)
        ]
        await send_heartbeats(forwarders, 9, 0.4)
        await asyncio.sleep(0.4)
        for forwarder in forwarders:
            forwarder.send(HEARTBEAT, lease_request(9))
        received = [await forwarder.receive_types() for forwarder in forwarders]
        assert {kind for kinds in received for kind in kinds} == {protocol.LeaseGrant}
        with mock.patch.object(planner.coordinator, "tick"):  # paused: the planner neither reads nor ticks
            for writer in planner.writers.values():
                pause_reading(writer)
            for forwarder in forwarders[1:]:
                forwarder.send(HEARTBEAT)
            await asyncio.sleep(5.0)
            forwarders[0].send(HEARTBEAT, lease_request(11))
            await asyncio.sleep(0.1)
            for name in ("f1", "f2", "f3", "f0"):
                resume_reading(planner.writers[name])
            assert await forwarders[0].receive_types() == [protocol.LeaseRejection]
        # With new heartbeats the planner grants again, after its wait for older leases.
        await send_heartbeats(forwarders, 11, 0.4)
        await asyncio.sleep(0.4)
        for forwarder in forwarders:
            forwarder.send(HEARTBEAT, lease_request(12))
        assert await forwarders[0].receive_types() == [protocol.LeaseGrant]

    run_planner(scenario)


def test_request_on_a_replaced_connection_is_not_answered_on_its_successor() -> None:
    """A restarted forwarder reuses request ids, so it could take the answer for that of another request."""

    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        others = [await ScriptedForwarder(cluster, f"f{index}").connect_with_hello() for index in (1, 2, 3)]
        old = await ScriptedForwarder(cluster, "f0").connect_with_hello()
        for forwarder in (*others, old) * 10:
            forwarder.send(HEARTBEAT)
            await asyncio.sleep(0.1)
        old.send(lease_request(1))
        (grant,) = await old.receive()
        assert isinstance(grant, protocol.LeaseGrant)
        new = await ScriptedForwarder(cluster, "f0").connect()
        new.deliver_now(protocol.Hello(1, "f0", 1))
        old.deliver_now(
            protocol.LeaseReturn(grant.lease_id, 2, grant.epoch),
            protocol.MembershipHeartbeat(9),
            lease_request(2),
        )
        assert await new.receive() == []
        assert "f0" in planner.coordinator.quorum.last_heartbeats_at_ms
        assert planner.coordinator.ledger.leases == {}  # the lease return on the replaced connection counts
        new.send(lease_request(1))
        assert await new.receive_types() == [protocol.LeaseGrant]

    run_planner(scenario)


def test_forwarder_removed_by_a_reload_gets_no_lease_for_a_request_already_received() -> None:
    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        forwarders = [
            await ScriptedForwarder(cluster, f"f{index}").connect_with_hello() for index in range(4)
        ]
        for forwarder in forwarders * 10:
            forwarder.send(HEARTBEAT)
            await asyncio.sleep(0.1)
        cluster.forwarder_names = ("f0", "f1", "f2")
        forwarders[3].deliver_now(lease_request())
        planner.reload()
        await asyncio.sleep(0.1)
        assert forwarders[3].reader.at_eof() or forwarders[3].reader.exception()
        assert planner.coordinator.ledger.counters.granted == 0
        assert len(planner.writers) == 3

    run_planner(scenario)


class LoopbackWithoutSignals(SocketTransport):
    """Sockets of the operating system; the test calls `stop` instead of sending SIGTERM."""

    handles_signals = True

    def install_signal_handlers(self, stop: Callable[[], None], reread: Callable[[], None]) -> None:
        self.stop = stop

    def ignore_signals(self) -> None:
        self.handles_signals = False


@pytest.mark.parametrize("iterations", range(8))
def test_planner_stopped_at_any_iteration_of_a_new_connection_ends_without_a_fault(iterations: int) -> None:
    """A stop may come at any point between the accept and the hello; no task may end with an error."""
    faults: list[dict[str, Any]] = []
    transport = LoopbackWithoutSignals()

    async def main() -> int:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context))
        config = replace(VirtualCluster(1, 1, 1, PLAN).config("p0"), listen=("127.0.0.1", 0))
        planner = Planner(config, StructuredLog("p0", out=io.StringIO()), lambda: config, transport, "e")
        running = loop.create_task(planner.run())
        while planner.listener is None:
            await asyncio.sleep(0)
        address = planner.listener.sockets[0].getsockname()
        reader, writer, *_ = await transport.dial(address, 65536)
        writer.write(protocol.encode_frame(protocol.Hello(1, "f0", 1)))
        assert isinstance(await protocol.read_planner_message(reader), protocol.Welcome)
        with socket.create_connection(address):
            for _ in range(iterations):
                await asyncio.sleep(0)
            transport.stop()
            return await running

    assert asyncio.run(main()) == 0
    assert faults == []
    assert not transport.handles_signals  # a SIGHUP after the stop would find no event loop


def test_connections_without_a_hello_are_limited_and_forwarders_connect_nevertheless() -> None:
    """Silent connections are limited in number and time, and must not keep forwarders from connecting."""

    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        first = await ScriptedForwarder(cluster, "f0").connect_with_hello()
        silent = [await ScriptedForwarder(cluster, "unidentified").connect() for _ in range(300)]
        assert len(planner.unidentified) <= 4 + MAX_EXTRA_UNIDENTIFIED
        second = await ScriptedForwarder(cluster, "f1").connect_with_hello()
        await asyncio.sleep(0.1)
        assert set(planner.writers) == {"f0", "f1"}
        await asyncio.sleep(3.0)
        assert len(planner.unidentified) == 0
        for connection in (*silent, first, second):
            connection.writer.close()

    run_planner(scenario)


def test_connection_aborted_in_the_iteration_of_its_hello_replaces_none() -> None:
    """A hello that is read after its connection was aborted must not end the current connection."""

    async def scenario(cluster: VirtualCluster, planner: Planner) -> None:
        first = await ScriptedForwarder(cluster, "f0").connect_with_hello()
        await asyncio.sleep(0.1)
        current_writer = planner.writers["f0"]
        late_connection = await ScriptedForwarder(cluster, "f0").connect()
        await asyncio.sleep(0.01)
        late_connection.deliver_now(protocol.Hello(1, "f0", 1))
        late_connection.planner_end.abort()
        await asyncio.sleep(0.1)
        assert planner.writers.get("f0") is current_writer
        first.writer.close()

    run_planner(scenario)
