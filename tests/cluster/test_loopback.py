"""Connections over local sockets."""

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from onyxpost.cluster import connections
from onyxpost.cluster.connections import PeerConnections
from onyxpost.cluster.errors import ClusterError
from onyxpost.cluster.failure_detector import PeerState
from onyxpost.cluster.frames import encode_frame
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.listener import MAX_UNIDENTIFIED
from onyxpost.cluster.membership import Membership
from onyxpost.cluster.protocol import Hello, Payload, Ping, read_message
from onyxpost.config.address import Address
from onyxpost.node.cluster_extension import ClusterExtension
from onyxpost.node.extension import find_extension
from onyxpost.runtime.log_event import LogEvent
from onyxpost.runtime.socket_transport import SocketTransport
from tests.cluster.slow_socket import count_messages, limit_receive_buffer, send_and_read_to_end
from tests.edge.harness import RunningNode, StubAppServer, node_fields

TOPIC = "t"
UNUSED_ADDRESS = ("127.0.0.1", 1)
LONG_LEAVE_SECONDS = 20.0
PEER_SECONDS = 10.0  # a peer ends its connection within this time, even on a busy machine


Messages = list[tuple[str, str, bytes]]
"""Sender, topic and body of each message that was delivered to a member."""


def discard(*_: object) -> None:
    """Ignores a message or log event."""


def peer_connections(
    name: str,
    members: dict[str, Address],
    on_message: Callable[[str, str, bytes], None] = discard,
    log: Callable[[LogEvent], None] = discard,
) -> PeerConnections:
    member = PeerConnections(
        SocketTransport(), name, Incarnation(1, "x"), Membership(1, members), on_message, log
    )
    member.topics.add(TOPIC)
    return member


async def listen(member: PeerConnections) -> Address:
    """Listens at a free port and returns the address."""
    await member.listen(("127.0.0.1", 0))
    assert member.listener.server is not None
    host, port = member.listener.server.sockets[0].getsockname()
    return host, port


async def wait_until(condition: Callable[[], Any]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


async def connect_slowly_as_n0(address: Address) -> socket.socket:
    """Returns a socket that has sent the hello of n0 and reads nothing."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    limit_receive_buffer(sock)
    await loop.sock_connect(sock, address)
    hello = Hello(
        protocol_version=1,
        sender="n0",
        incarnation="2-y",
        receiver="n1",
        dial_number=1,
        membership_version=1,
    )
    await loop.sock_sendall(sock, encode_frame(hello))
    return sock


async def leave_and_close(member: PeerConnections) -> None:
    async with asyncio.timeout(PEER_SECONDS):
        await member.leave()
    member.close()


async def check_messages_both_ways(
    node: ClusterExtension, other: PeerConnections, received: Messages
) -> None:
    """Sends a message each way between the edge node n0 and n1; `received` has the messages of n1."""
    received_by_node: list[bytes] = []
    node.subscribe(TOPIC, lambda _, body: received_by_node.append(body))
    assert node.connections.send("n1", TOPIC, b"to")
    assert other.send("n0", TOPIC, b"from")
    await wait_until(lambda: received and received_by_node)
    assert received == [("n0", TOPIC, b"to")]
    assert received_by_node == [b"from"]


def check_reload(edge: RunningNode, fleet: dict[str, Any], version: int, event: bytes) -> None:
    """Reloads a file in which n0 is the only member, and checks that `event` is logged."""
    changed = {"version": version, "members": {"n0": "127.0.0.1:1"}}
    edge.reload_fields = node_fields(fleet=fleet | changed)
    edge.node.reload()
    assert event in edge.log_output.getvalue()


def test_an_edge_node_connects_by_its_file_changes_membership_on_sighup_and_leaves() -> None:
    async def main() -> None:
        received: Messages = []
        members = {"n0": UNUSED_ADDRESS, "n1": ("", 0)}
        other = peer_connections("n1", members, lambda *message: received.append(message))
        host, port = await listen(other)
        other.start()
        fleet = {
            "version": 3,
            "listen": "localhost:0",
            "members": {"n0": "127.0.0.1:1", "n1": f"{host}:{port}"},
        }
        async with (
            asyncio.timeout(10.0),
            StubAppServer() as server,
            RunningNode(server.address, fleet=fleet) as edge,
        ):
            cluster = find_extension(edge.node.extensions, ClusterExtension)
            assert cluster is not None
            own = cluster.connections
            await wait_until(
                lambda: other.state_of("n0") is PeerState.LIVE and own.state_of("n1") is PeerState.LIVE
            )
            for connection in (own.established["n1"], other.established["n0"]):
                transport: Any = connection.writer.transport
                assert transport.max_size == 65536  # otherwise asyncio reads 256 KiB at once
            await check_messages_both_ways(cluster, other, received)
            check_reload(edge, fleet, 2, b"cluster membership rejected")
            check_reload(edge, fleet, 4, b"cluster membership changed")
            await wait_until(lambda: other.state_of("n0") is PeerState.GONE)
            other.close()

    asyncio.run(main(), debug=True)


def test_a_process_that_ends_with_open_connections_logs_no_fault() -> None:
    faults: list[dict[str, Any]] = []
    kept: list[PeerConnections] = []

    async def main() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        addresses = {"n0": UNUSED_ADDRESS, "n1": UNUSED_ADDRESS}
        dialer = peer_connections("n0", addresses)
        listener = peer_connections("n1", dict(addresses))
        kept.extend((dialer, listener))
        addresses["n1"] = await listen(listener)
        dialer.start()
        listener.start()
        await wait_until(lambda: listener.state_of("n0") is PeerState.LIVE)

    asyncio.run(main())
    assert faults == []


@pytest.fixture
def long_leave_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raises the timeout of leaving, for busy machines; test_connections.py tests the real timeout."""
    monkeypatch.setattr(connections, "LEAVE_TIMEOUT_SECONDS", LONG_LEAVE_SECONDS)


@pytest.mark.usefixtures("long_leave_timeout")
@pytest.mark.parametrize("sender_name", ["n0", "n1"])
def test_messages_of_a_leaving_node_reach_a_slow_reader_whichever_side_dialed(sender_name: str) -> None:
    received: Messages = []

    async def main() -> int:
        addresses = {"n0": UNUSED_ADDRESS, "n1": UNUSED_ADDRESS}
        members = {
            "n0": peer_connections("n0", addresses, lambda *message: received.append(message)),
            "n1": peer_connections("n1", dict(addresses), lambda *message: received.append(message)),
        }
        addresses["n1"] = await listen(members["n1"])
        for member in members.values():
            member.start()
        await wait_until(lambda: members["n0"].established and members["n1"].established)
        sender = members.pop(sender_name)
        ((receiver_name, receiver),) = members.items()
        transport: Any = receiver.established[sender_name].writer.transport
        transport.pause_reading()
        sent_count = 0
        while sender.send(receiver_name, TOPIC, bytes(60_000)):
            sent_count += 1
        transport.resume_reading()
        await leave_and_close(sender)
        await wait_until(lambda: not receiver.established)
        receiver.close()
        return sent_count

    sent_count = asyncio.run(main(), debug=True)
    assert len(received) == sent_count


def test_simultaneous_connections_without_a_hello_are_limited() -> None:
    async def main() -> int:
        member = peer_connections("n1", {"n1": ("", 1)})
        address = await listen(member)
        clients = [socket.create_connection(address) for _ in range(3 * MAX_UNIDENTIFIED)]
        largest_count = 0
        for _ in range(50):
            await asyncio.sleep(0)
            largest_count = max(largest_count, len(member.listener.unidentified))
        member.close()
        for client in clients:
            client.close()
        return largest_count

    assert asyncio.run(main(), debug=True) == MAX_UNIDENTIFIED


@pytest.mark.usefixtures("long_leave_timeout")
def test_the_last_messages_of_a_leaving_node_arrive_although_the_peer_sends_at_that_time() -> None:
    """A socket that is closed with unread bytes is reset, and its unsent bytes are lost."""

    async def main() -> int:
        loop = asyncio.get_running_loop()
        member = peer_connections("n1", {"n0": UNUSED_ADDRESS, "n1": ("127.0.0.1", 2)})
        address = await listen(member)
        member.start()
        sock = await connect_slowly_as_n0(address)
        while not member.established:
            await asyncio.sleep(0)
        for _ in range(10):
            assert member.send("n0", TOPIC, bytes(4000))

        leaving = loop.create_task(leave_and_close(member))
        for _ in range(50):  # lets `leave` run until it waits
            await asyncio.sleep(0)
        received = await send_and_read_to_end(sock, encode_frame(Ping(1)))
        sock.close()
        await leaving
        return await count_messages(received, read_message, Payload)

    assert asyncio.run(main()) == 10


@pytest.mark.parametrize("error", ClusterError.__subclasses__())
def test_each_error_has_a_remedy_and_is_listed_for_those_on_call(error: type[ClusterError]) -> None:
    assert error.remedy
    assert f"`{error.__name__}`" in Path("docs/on-call.md").read_text()
