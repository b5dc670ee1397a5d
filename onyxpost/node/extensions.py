"""The optional parts of an edge node: planners, cluster connections and leadership elections.

Their packages are imported only by nodes whose files name them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, TypeVar

from onyxpost.edge.messages import EdgeEvent, ReportUnitsSpent, ReturnLease
from onyxpost.errors import StaleVersionError

if TYPE_CHECKING:
    from onyxpost.cluster.connections import PeerConnections
    from onyxpost.cluster.membership import ClusterConfig
    from onyxpost.forwarder.planner_client import PlannerClient
    from onyxpost.leadership.service import LeadershipService
    from onyxpost.node.config import NodeConfig, PlannerClientConfig
    from onyxpost.runtime.log_event import LogEvent
    from onyxpost.runtime.transport import Transport

MessageHandler = Callable[[str, bytes], None]
"""Called with a message's sender and body; must not block."""

LEADERSHIP_TOPIC = "duties"
"""The topic of election messages; part of the protocol between nodes."""


class Extension:
    """One optional part of a node, driven through these calls.

    Each does nothing by default, except `apply_reload`, which each extension has to implement.
    """

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the functions that carry out effects of the state machine, by type of effect."""
        return {}

    def descriptor_count(self) -> int:
        """Returns the number of descriptors in use that `DescriptorBudget.reserved` does not cover."""
        return 0

    async def start(self) -> None:
        """Starts to work, just before clients are accepted. Raises ListenError if an address is taken."""

    def resign(self) -> None:
        """Gives up all leadership, as the node is shutting down; called before clients are drained."""

    async def stop(self) -> None:
        """Ends in an orderly way, once all clients have their answers."""

    def close(self) -> None:
        """Ends everything at once."""

    def validate_reload(self, new: NodeConfig) -> None:
        """Checks a reloaded configuration and changes nothing. Raises InvalidInputError to reject it."""

    def apply_reload(self, new: NodeConfig) -> list[str]:
        """Applies a valid configuration; returns the file keys whose changes take a restart."""
        raise NotImplementedError


ExtensionT = TypeVar("ExtensionT", bound=Extension)


def find_extension(extensions: Iterable[Extension], kind: type[ExtensionT]) -> ExtensionT | None:
    """Returns the extension of the given type, or None if the node has none."""
    return next((extension for extension in extensions if isinstance(extension, kind)), None)


class PlannerExtension(Extension):
    """Leases from planners. Its few connections are covered by the reserve of `DescriptorBudget`."""

    def __init__(self, client: PlannerClient) -> None:
        self.client = client

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the client's functions that report spent units and return leases."""
        return {
            ReportUnitsSpent: self.client.report_units_spent,
            ReturnLease: self.client.return_lease,
        }

    async def start(self) -> None:
        """Starts to connect to the planners."""
        self.client.start()

    async def stop(self) -> None:
        """Returns all leases."""
        await self.client.stop()

    def close(self) -> None:
        """Ends all connections at once."""
        self.client.close()

    def validate_reload(self, new: NodeConfig) -> None:
        """Raises StaleVersionError if the membership is older than the one in force."""
        if new.planners is None:
            return
        current_version = self.client.membership_version
        new_version = new.planners.membership_version
        if new_version < current_version:
            raise StaleVersionError(
                f"version {new_version} is older than {current_version} - at `$.planners.version`"
            )

    def apply_reload(self, new: NodeConfig) -> list[str]:
        """Follows a later membership."""
        if new.planners is not None:
            self.client.update_membership(new.planners.members, new.planners.membership_version)
        return []


class ClusterExtension(Extension):
    """Connections to the other members of a cluster, and the leader elections that use them."""

    def __init__(
        self,
        net: Transport,
        name: str,
        config: ClusterConfig,
        log: Callable[[LogEvent], None],
    ) -> None:
        from onyxpost.cluster.connections import PeerConnections
        from onyxpost.cluster.incarnation import Incarnation

        self.config = config
        self.handlers: dict[str, MessageHandler] = {}  # by topic
        incarnation = Incarnation.starting_at(net.clock())
        self.connections: PeerConnections = PeerConnections(
            net, name, incarnation, config.membership, self._on_message, log
        )
        self.leadership: LeadershipService | None = None

    def subscribe(self, topic: str, handler: MessageHandler) -> None:
        """Calls `handler` with each message of the topic from now on."""
        self.handlers[topic] = handler
        self.connections.topics.add(topic)

    def add_leadership(self, leadership: LeadershipService) -> None:
        """Lets this node take part in elections."""
        self.leadership = leadership
        self.subscribe(LEADERSHIP_TOPIC, leadership.handle_message)

    def descriptor_count(self) -> int:
        """Returns the number of connections to members."""
        return self.connections.descriptor_count()

    async def start(self) -> None:
        """Accepts and dials members, then takes part in elections."""
        await self.connections.listen(self.config.listen)
        self.connections.start()
        if self.leadership is not None:
            self.leadership.start()

    def resign(self) -> None:
        """Gives up every role that this node leads."""
        if self.leadership is not None:
            self.leadership.resign_all()

    async def stop(self) -> None:
        """Ends all connections once their peers have read what was sent, or after a short timeout."""
        await self.connections.leave()

    def close(self) -> None:
        """Aborts elections and connections."""
        if self.leadership is not None:
            self.leadership.close()
        self.connections.close()

    def validate_reload(self, new: NodeConfig) -> None:
        """Raises MembershipChangeError if the acceptors must not change in this way, or not yet."""
        if self.leadership is not None and new.leadership is not None:
            self.leadership.validate_reload(new.leadership)

    def apply_reload(self, new: NodeConfig) -> list[str]:
        """Follows a later membership and a later set of acceptors."""
        if new.cluster is not None:
            self.connections.update_membership(new.cluster.membership)
        if self.leadership is None or new.leadership is None:
            return []
        return ["duties"] if self.leadership.reload(new.leadership) else []

    def _on_message(self, sender: str, topic: str, body: bytes) -> None:
        self.handlers[topic](sender, body)


def build_extensions(
    config: NodeConfig,
    net: Transport,
    post: Callable[[EdgeEvent], None],
    log: Callable[[LogEvent], None],
) -> list[Extension]:
    """Builds the optional parts that `config` names, in the order in which they start."""
    extensions: list[Extension] = []
    if config.planners is not None:
        extensions.append(_build_planner_extension(config.name, config.planners, net, post, log))
    if config.cluster is not None:
        cluster = ClusterExtension(net, config.name, config.cluster, log)
        if config.leadership is not None:
            from onyxpost.leadership.service import LeadershipService

            leadership = LeadershipService(net, config.name, config.leadership, cluster.connections, log)
            cluster.add_leadership(leadership)
        extensions.append(cluster)
    return extensions


def _build_planner_extension(
    name: str,
    config: PlannerClientConfig,
    net: Transport,
    post: Callable[[EdgeEvent], None],
    log: Callable[[LogEvent], None],
) -> PlannerExtension:
    from onyxpost.forwarder.planner_client import PlannerClient

    return PlannerExtension(PlannerClient(net, name, config.members, config.membership_version, post, log))
