"""Extension of an edge node: connections to the members of a cluster, and leader elections."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from onyxpost.node.extension import Extension

if TYPE_CHECKING:
    from onyxpost.cluster.connections import PeerConnections
    from onyxpost.cluster.membership import ClusterConfig
    from onyxpost.leadership.service import LeadershipService
    from onyxpost.node.node_config import NodeConfig
    from onyxpost.runtime.log_event import LogEvent
    from onyxpost.runtime.transport import Transport

MessageHandler = Callable[[str, bytes], None]
"""Called with the sender and body of a message; must not block."""

LEADERSHIP_TOPIC = "duties"
"""Topic of election messages. The name is part of the protocol between nodes."""


class ClusterExtension(Extension):
    """Connections to the other members of a cluster, and the leader elections that use them."""

    def __init__(
        self,
        transport: Transport,
        name: str,
        config: ClusterConfig,
        log: Callable[[LogEvent], None],
    ) -> None:
        from onyxpost.cluster.connections import PeerConnections
        from onyxpost.cluster.incarnation import Incarnation

        self.config = config
        self.handlers: dict[str, MessageHandler] = {}  # by topic
        incarnation = Incarnation.starting_at(transport.clock())
        self.connections: PeerConnections = PeerConnections(
            transport, name, incarnation, config.membership, self._on_message, log
        )
        self.leadership: LeadershipService | None = None

    def subscribe(self, topic: str, handler: MessageHandler) -> None:
        """Calls `handler` for each message of the topic that is received from now on."""
        self.handlers[topic] = handler
        self.connections.topics.add(topic)

    def add_leadership(self, leadership: LeadershipService) -> None:
        """Makes this node take part in elections; must be called before `start`."""
        self.leadership = leadership
        self.subscribe(LEADERSHIP_TOPIC, leadership.handle_message)

    def descriptor_count(self) -> int:
        """Returns the number of descriptors of connections, identified or not."""
        return self.connections.descriptor_count()

    async def start(self) -> None:
        """Accepts connections of members, dials the others, and takes part in elections.

        Raises:
            ListenError: the cluster address cannot be bound.
        """
        await self.connections.listen(self.config.listen)
        self.connections.start()
        if self.leadership is not None:
            self.leadership.start()

    def resign(self) -> None:
        """Gives up the leadership of every role that this node leads."""
        if self.leadership is not None:
            self.leadership.resign_all()

    async def stop(self) -> None:
        """Ends all connections once the peers have read all messages, or after a short timeout."""
        await self.connections.leave()

    def close(self) -> None:
        """Stops elections and closes all connections at once."""
        if self.leadership is not None:
            self.leadership.close()
        self.connections.close()

    def validate_reload(self, new: NodeConfig) -> None:
        """Checks the new set of acceptors.

        Raises:
            MembershipChangeError: the set must not replace the one in force, or not until its records are
                committed.
        """
        if self.leadership is not None and new.leadership is not None:
            self.leadership.validate_reload(new.leadership)

    def apply_reload(self, new: NodeConfig) -> list[str]:
        """Applies a later membership and a later set of acceptors."""
        if new.cluster is not None:
            self.connections.update_membership(new.cluster.membership)
        if self.leadership is None or new.leadership is None:
            return []
        return ["duties"] if self.leadership.reload(new.leadership) else []

    def _on_message(self, sender: str, topic: str, body: bytes) -> None:
        self.handlers[topic](sender, body)
