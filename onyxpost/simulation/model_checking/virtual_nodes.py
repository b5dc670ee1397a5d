"""Nodes with duties on the virtual clock and network: links, service and machines, faults from a seed."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from random import Random
from typing import Any

from onyxpost.cluster.connections import PeerConnections
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.membership import Membership
from onyxpost.config.address import Address
from onyxpost.leadership.config import LeadershipConfig
from onyxpost.leadership.lease_timing import LeaseTiming
from onyxpost.leadership.membership import AcceptorSet
from onyxpost.leadership.service import LeadershipService
from onyxpost.leadership.service_log import LEASE_ACQUIRED
from onyxpost.runtime.log_event import LogEvent
from onyxpost.simulation import virtual_time

ACTS = ("10.9.0.1", 80)


class Node:
    def __init__(self, town: Town, name: str, given: LeadershipConfig) -> None:
        self.town, self.name = town, name
        town.lives += 1
        self.net = town.net.host(name)
        life = Incarnation(int(self.net.clock() + town.lives / 1000.0), f"{town.lives:04x}")
        self.links = PeerConnections(self.net, name, life, town.membership, self.told, self.log)
        self.links.topics.add("duties")
        self.leadership = LeadershipService(self.net, name, given, self.links, self.log)
        self.stalled: list[tuple[str, bytes]] | None = None

    def told(self, sender: str, topic: str, body: bytes) -> None:
        if self.stalled is not None:
            self.stalled.append((sender, body))
        else:
            self.leadership.handle_message(sender, body)

    def log(self, log: LogEvent) -> None:
        self.town.logs.append((self.town.now(), self.name, log))

    async def start(self) -> None:
        await self.links.listen(self.town.membership.members[self.name])
        self.links.start()
        self.leadership.start()


class Town:
    """`one` is checked at each ms: no duty may have two holders."""

    def __init__(
        self,
        seed: int,
        size: int,
        duties: int = 1,
        voters: int = 3,
        terms: LeaseTiming | None = None,
        acts: Address | None = None,
    ) -> None:
        self.net, self.lives = virtual_time.Network(Random(f"{seed}/net")), 0
        names = [f"n{i:02d}" for i in range(size)]
        self.membership = Membership(1, {name: (f"10.8.0.{i}", 7100) for i, name in enumerate(names)})
        chosen = AcceptorSet(1, tuple(names[:voters]))
        called = tuple(f"d{i}" for i in range(duties))
        self.given = LeadershipConfig(
            chosen, called, tuple(names), {}, terms or LeaseTiming(), None, acts, 250.0
        )
        self.nodes: dict[str, Node] = {}
        self.logs: list[tuple[float, str, LogEvent]] = []
        self.cut: set[tuple[str, str]] = set()
        self.net.blocked_links = self.cut
        self.overlaps = 0

    def now(self) -> float:
        return self.net.loop.time() * 1000.0

    async def start(self, *names: str) -> None:
        for name in names or tuple(self.membership.members):
            node = self.nodes[name] = Node(self, name, self.given)
            await node.start()

    async def kill(self, name: str) -> None:
        """Started again with `start`, it knows nothing."""
        node = self.nodes.pop(name)
        node.leadership.close()
        node.links.close()
        self.net.kill_host(name)
        await asyncio.sleep(0.0)

    async def leave(self, name: str) -> None:
        """As on SIGTERM."""
        node = self.nodes.pop(name)
        node.leadership.resign_all()
        await node.links.leave()
        node.leadership.close()
        node.links.close()
        await asyncio.sleep(0.0)

    def stall(self, name: str) -> None:
        """As SIGSTOP: nothing runs, what comes waits."""
        node = self.nodes[name]
        node.stalled = []
        node.leadership.close()

    def wake(self, name: str) -> None:
        node = self.nodes[name]
        waiting, node.stalled = node.stalled or [], None
        node.leadership.start()
        for sender, body in waiting:
            node.leadership.handle_message(sender, body)

    def part(self, name: str) -> None:
        for other in self.membership.members:
            self.cut |= {(name, other), (other, name)}

    def holders(self, duty: str) -> list[str]:
        running = [(name, node) for name, node in self.nodes.items() if node.stalled is None]
        return [name for name, node in running if node.leadership.fencing_token(duty) is not None]

    def look(self) -> None:
        self.overlaps += sum(len(self.holders(duty)) > 1 for duty in self.given.roles)

    async def until_held(self, duty: str, other_than: str = "", most: float = 60_000.0) -> str:
        """The holder, once there is one; looked for at each ms. Raises TimeoutError."""
        ends = self.now() + most
        while self.now() < ends:
            self.look()
            if (holding := self.holders(duty)) and holding[0] != other_than:
                return holding[0]
            await asyncio.sleep(0.001)
        raise TimeoutError(f"{duty} has no holder")

    def said(self, event: str) -> list[dict[str, Any]]:
        return [log.fields for _, _, log in self.logs if log.event == event]

    def fences_grow(self) -> bool:
        by_duty: dict[str, list[int]] = defaultdict(list)
        for fields in self.said(LEASE_ACQUIRED):
            by_duty[fields["role"]].append(fields["fencing_token"])
        return all(fences == sorted(set(fences)) for fences in by_duty.values())

    async def close(self) -> None:
        for name in list(self.nodes):
            await self.kill(name)
