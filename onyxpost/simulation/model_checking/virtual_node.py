"""A node of leader election on the virtual clock and network."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.cluster.connections import PeerConnections
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.leadership.service import LeadershipService

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.cluster.membership import Membership
    from onyxpost.leadership.config import LeadershipConfig
    from onyxpost.runtime.log_event import LogEvent
    from onyxpost.simulation.virtual_time import Network

TOPIC = "duties"  # topic of the leader election messages between nodes


class ReceivedMessage(NamedTuple):
    """A message received while its recipient was paused."""

    sender: str
    body: bytes


class VirtualNode:
    """The peer connections and the leadership service of one node, without its gateway.

    Args:
        network: The virtual network of the node.
        name: The name of the node in the membership.
        start_index: Number of this start among all starts of nodes; makes the incarnation unique.
        membership: All nodes and their addresses.
        config: The roles and acceptors.
        log: Called with each log event.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        start_index: int,
        membership: Membership,
        config: LeadershipConfig,
        log: Callable[[LogEvent], None],
    ) -> None:
        self.host = network.host(name)
        started_at_ms = int(self.host.clock() + start_index / MS_PER_SECOND)
        incarnation = Incarnation(started_at_ms, f"{start_index:04x}")
        self.address = membership.members[name]
        self.connections = PeerConnections(self.host, name, incarnation, membership, self._on_message, log)
        self.connections.topics.add(TOPIC)
        self.leadership = LeadershipService(self.host, name, config, self.connections, log)
        self.is_paused = False
        self._received_while_paused: list[ReceivedMessage] = []

    async def start(self) -> None:
        """Starts to listen, to connect to peers and to take part in elections."""
        await self.connections.listen(self.address)
        self.connections.start()
        self.leadership.start()

    def close(self) -> None:
        """Stops without sending a message to any peer."""
        self.leadership.close()
        self.connections.close()

    async def terminate(self) -> None:
        """Resigns from all roles, leaves the cluster and stops, as on SIGTERM."""
        self.leadership.resign_all()
        await self.connections.leave()
        self.close()

    def pause(self) -> None:
        """Pauses as on SIGSTOP: leader election stops, and received messages are queued."""
        self.is_paused = True
        self._received_while_paused = []
        self.leadership.close()

    def resume(self) -> None:
        """Continues as on SIGCONT and handles the messages received during the pause."""
        self.is_paused = False
        self.leadership.start()
        for message in self._received_while_paused:
            self.leadership.handle_message(message.sender, message.body)

    def _on_message(self, sender: str, topic: str, body: bytes) -> None:  # noqa: ARG002 - only one topic
        if self.is_paused:
            self._received_while_paused.append(ReceivedMessage(sender, body))
        else:
            self.leadership.handle_message(sender, body)
