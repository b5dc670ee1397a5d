"""A cluster of nodes with leader election on the virtual clock and network, with injectable faults."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.cluster.membership import Membership
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.leadership.acceptor_set import AcceptorSet
from onyxpost.leadership.config import LeadershipConfig
from onyxpost.leadership.leadership_log import LEADERSHIP_ACQUIRED
from onyxpost.leadership.role_lease_timing import RoleLeaseTiming
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.virtual_node import VirtualNode

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.runtime.log_event import LogEvent

FENCED_RESOURCE_ADDRESS = ("10.9.0.1", 80)
PORT = 7100
CALL_INTERVAL_MS = 250.0  # interval of a leader's calls to the fenced resource
SAMPLE_INTERVAL_SECONDS = 0.001
DEFAULT_WAIT_MS = 60_000.0


class NodeLogEvent(NamedTuple):
    """A log event with its time in ms since the start and the node that wrote it."""

    at_ms: float
    node: str
    event: LogEvent


class VirtualCluster:
    """Nodes `n00`, `n01`, ... with roles `d0`, `d1`, ...; the first nodes are the acceptors.

    Args:
        seed: Seed of the network's delays.
        size: Number of nodes.
        roles: Number of roles.
        acceptors: Number of acceptors.
        timing: Timing of the leases; None for the defaults.
        resource: Address of the fenced resource that leaders call at a fixed interval; None for no calls.

    Attributes:
        nodes: The running nodes by name, including paused ones.
        logs: The log events of all nodes, in order.
        blocked_links: Pairs of sender and recipient whose messages are lost.
        overlaps: Number of roles with more than one leader, summed over all samples.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        roles: int = 1,
        acceptors: int = 3,
        timing: RoleLeaseTiming | None = None,
        resource: Address | None = None,
    ) -> None:
        names = tuple(f"n{index:02d}" for index in range(size))
        addresses = {name: (f"10.8.0.{index}", PORT) for index, name in enumerate(names)}
        self.network = virtual_time.Network(Random(f"{seed}/net"))
        self.membership = Membership(1, addresses)
        self.config = LeadershipConfig(
            AcceptorSet(1, names[:acceptors]),
            tuple(f"d{index}" for index in range(roles)),
            names,
            {},
            timing or RoleLeaseTiming(),
            None,
            resource,
            CALL_INTERVAL_MS,
        )
        self.nodes: dict[str, VirtualNode] = {}
        self.logs: list[NodeLogEvent] = []
        self.blocked_links = self.network.blocked_links
        self.overlaps = 0
        self._start_count = 0

    def now_ms(self) -> float:
        """Returns the virtual time in ms since the start of the run."""
        return self.network.loop.time() * MS_PER_SECOND

    async def start(self, *names: str) -> None:
        """Starts the named nodes, or all if none is named, without state."""
        for name in names or tuple(self.membership.members):
            self._start_count += 1
            node = VirtualNode(
                self.network, name, self._start_count, self.membership, self.config, self._log_of(name)
            )
            self.nodes[name] = node
            await node.start()

    async def kill(self, name: str) -> None:
        """Ends a node as SIGKILL does; `start` can start it again."""
        self.nodes.pop(name).close()
        self.network.kill_host(name)
        await asyncio.sleep(0.0)

    async def terminate(self, name: str) -> None:
        """Ends a node as SIGTERM does: it resigns from its roles and leaves the cluster."""
        await self.nodes.pop(name).terminate()
        await asyncio.sleep(0.0)

    def isolate(self, name: str) -> None:
        """Blocks all links of a node in both directions, until `blocked_links` is cleared."""
        for other in self.membership.members:
            self.blocked_links |= {(name, other), (other, name)}

    async def close(self) -> None:
        """Kills all nodes."""
        for name in list(self.nodes):
            await self.kill(name)

    def leaders_of(self, role: str) -> list[str]:
        """Returns the nodes that lead `role`, each by its own clock; paused nodes are not included."""
        return [
            name
            for name, node in self.nodes.items()
            if not node.is_paused and node.leadership.fencing_token(role) is not None
        ]

    def sample_state(self) -> None:
        """Adds the number of roles that currently have more than one leader to `overlaps`."""
        self.overlaps += sum(len(self.leaders_of(role)) > 1 for role in self.config.roles)

    async def wait_for_leader(
        self, role: str, other_than: str = "", timeout_ms: float = DEFAULT_WAIT_MS
    ) -> str:
        """Waits for a leader of `role` and returns its name; samples the state every ms meanwhile.

        Args:
            role: The role.
            other_than: A node that does not count as the leader; "" for none.
            timeout_ms: Maximum virtual time to wait.

        Raises:
            TimeoutError: No node other than `other_than` led within the timeout.
        """
        deadline_ms = self.now_ms() + timeout_ms
        while self.now_ms() < deadline_ms:
            self.sample_state()
            leaders = self.leaders_of(role)
            if leaders and leaders[0] != other_than:
                return leaders[0]
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
        raise TimeoutError(f"role {role} has no leader within the timeout")

    def logged_fields(self, event: str) -> list[dict[str, Any]]:
        """Returns the fields of all log events with this name, in order."""
        return [log.event.fields for log in self.logs if log.event.event == event]

    def tokens_increase(self) -> bool:
        """Returns whether the fencing tokens of each role increased with each lease."""
        tokens_of_role: dict[str, list[int]] = defaultdict(list)
        for fields in self.logged_fields(LEADERSHIP_ACQUIRED):
            tokens_of_role[fields["role"]].append(fields["fencing_token"])
        return all(tokens == sorted(set(tokens)) for tokens in tokens_of_role.values())

    def _log_of(self, name: str) -> Callable[[LogEvent], None]:
        return lambda event: self.logs.append(NodeLogEvent(self.now_ms(), name, event))
