"""A cluster on a virtual clock and an in-memory network, for tests."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.cluster.connections import PeerConnections
from onyxpost.cluster.frames import encode_frame
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.membership import Membership
from onyxpost.cluster.protocol import Hello
from onyxpost.simulation import virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from onyxpost.cluster.failure_detector import PeerState
    from onyxpost.config.address import Address
    from onyxpost.runtime.log_event import LogEvent
    from onyxpost.runtime.transport import DialedConnection

TOPIC = "t"
READ_LIMIT = 65536
FORGED_INCARNATION = Incarnation(9999, "s")  # later than those of all started members
SETTLE_SECONDS = 3.0  # the time until all members are connected


class Received(NamedTuple):
    """A message that was delivered to a component of a member."""

    receiver: str
    sender: str
    topic: str
    body: bytes


def address_of(name: str) -> Address:
    return f"10.8.0.{name[1:]}", 7100


def membership_of(version: int, *names: str) -> Membership:
    return Membership(version, {name: address_of(name) for name in names})


def hello_frame(receiver: str, **changed: Any) -> bytes:
    """A valid hello of a new incarnation of n0, with some fields changed."""
    fields: dict[str, Any] = {
        "protocol_version": 1,
        "sender": "n0",
        "incarnation": str(FORGED_INCARNATION),
        "receiver": receiver,
        "dial_number": 1,
        "membership_version": 1,
    }
    return encode_frame(Hello(**(fields | changed)))


class VirtualCluster:
    """The members n0, n1 and so on, with the messages and log events of all of them."""

    def __init__(self, size: int) -> None:
        self.network = virtual_time.Network(Random("1/net"))
        self.names = [f"n{i}" for i in range(size)]
        self.membership = membership_of(1, *self.names)
        self.members: dict[str, PeerConnections] = {}
        self.received: list[Received] = []
        self.logs: dict[str, list[LogEvent]] = {name: [] for name in self.names}
        self.start_count = 0
        self.blocked_links: set[tuple[str, str]] = set()  # pairs of a sender and a receiver
        self.network.blocked_links = self.blocked_links

    async def start(self, name: str) -> PeerConnections:
        self.start_count += 1

        def on_message(sender: str, topic: str, body: bytes) -> None:
            self.received.append(Received(name, sender, topic, body))

        logs = self.logs.setdefault(name, [])
        incarnation = Incarnation(1000 + self.start_count, "x")
        member = PeerConnections(
            self.network.host(name), name, incarnation, self.membership, on_message, logs.append
        )
        self.members[name] = member
        member.topics.add(TOPIC)
        await member.listen(address_of(name))
        member.start()
        return member

    def kill(self, name: str) -> None:
        self.members[name].close()
        self.network.kill_host(name)

    def partition(self, one: str, other: str) -> None:
        self.blocked_links |= {(one, other), (other, one)}

    def logged(self, name: str, event: str) -> list[dict[str, Any]]:
        return [log.fields for log in self.logs[name] if log.event == event]

    def rejection_kinds(self, name: str) -> list[str]:
        return [fields["kind"] for fields in self.logged(name, "cluster connection rejected")]

    def states_seen_by(self, name: str) -> set[PeerState]:
        return {self.members[name].state_of(other) for other in self.names if other != name}

    async def dial_without_hello(self, receiver: str) -> DialedConnection:
        return await self.network.host("stranger").dial(address_of(receiver), READ_LIMIT)

    async def dial_as_n0(self, receiver: str, **changed: Any) -> DialedConnection:
        """A connection from another host, with the hello of a new incarnation of n0."""
        dialed = await self.dial_without_hello(receiver)
        dialed.writer.write(hello_frame(receiver, **changed))
        return dialed


def run_scenario(
    scenario: Callable[[VirtualCluster], Coroutine[Any, Any, None]], size: int = 3, first: int = 0
) -> VirtualCluster:
    """Starts the members from number `first` on, waits until they are connected, and runs the scenario."""

    async def main() -> VirtualCluster:
        cluster = VirtualCluster(size)
        for name in cluster.names[first:]:
            await cluster.start(name)
        await asyncio.sleep(SETTLE_SECONDS)
        await scenario(cluster)
        for member in cluster.members.values():
            member.close()
        await asyncio.sleep(0.1)
        return cluster

    cluster: VirtualCluster = virtual_time.run(main())
    return cluster
