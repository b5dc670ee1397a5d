"""Planners and forwarders that run the real state machines and exchange simulated messages."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, NamedTuple, Protocol, cast

from onyxpost.forwarder.lease_cache import LeaseCache
from onyxpost.planner import protocol
from onyxpost.planner.config import PlannerConfig
from onyxpost.planner.lease_coordinator import LeaseCoordinator
from onyxpost.planner.lease_terms import LeaseTerms
from onyxpost.simulation.virtual_time import START_UNIX_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.core.events import Event
    from onyxpost.simulation.discrete_event.environment import Environment
    from onyxpost.simulation.discrete_event.scenario_sections import PlannerSection

TICK_MS = 50.0  # the same interval as in real planners and forwarders
CLOCK_DRIFT = 0.01  # maximum relative drift of clocks that the lease terms allow for
MEMBERSHIP_VERSION = 1
UNUSED_ADDRESS = ("10.9.0.1", 7000)  # required by the configuration; nothing listens there


class _Connection(NamedTuple):
    """Incarnations of a connected node and planner."""

    node_incarnation: int
    planner_incarnation: int


class Forwarder(Protocol):
    """The interface of an edge node that holds leases."""

    name: str
    zone: int
    incarnation: int
    is_alive: bool

    def handle(self, *events: Event) -> None:
        """Passes events to the node's gateway."""


def _ignore_event(event: str, /, **fields: object) -> None:
    """Discards a log event, as simulated planners write no log."""


class PlannerModel:
    """All planners, and the lease cache of each node."""

    def __init__(self, environment: Environment, options: PlannerSection) -> None:
        self._environment = environment
        self._clock = environment.clock
        self.safe_share = options.safe_share
        self.lease_terms = LeaseTerms(options.lease_ms, CLOCK_DRIFT)
        self.names = [f"p{index}" for index in range(options.count)]
        self.nodes: dict[str, Forwarder] = {}
        self.planners: dict[str, LeaseCoordinator | None] = {}  # by name; None while a planner is down
        self.incarnations = dict.fromkeys(self.names, 0)
        self.caches: dict[str, LeaseCache] = {}  # by name of the node
        self.connections: dict[tuple[str, str], _Connection] = {}  # by names of node and planner

    def _now(self) -> float:
        return START_UNIX_MS + self._clock.now_ms

    def _config(self, planner: str) -> PlannerConfig:
        return PlannerConfig(
            name=planner,
            listen=UNUSED_ADDRESS,
            membership_version=MEMBERSHIP_VERSION,
            planners=tuple(self.names),
            forwarders=tuple(self.nodes),
            plans=tuple(self._environment.plans),
            lease_terms=self.lease_terms,
            safe_share=self.safe_share,
            log_level="info",
        )

    # Processes

    def start(self, nodes: Sequence[Forwarder]) -> None:
        """Starts all planners, and the periodic timer of planners and lease caches."""
        self.nodes = {node.name: node for node in nodes}
        for name in self.names:
            self.start_planner(name)
        self._clock.call_after(TICK_MS, self._tick)

    def start_planner(self, name: str) -> None:
        """Starts a new incarnation of a planner, without state."""
        self.incarnations[name] += 1
        epoch = f"{name}-{self.incarnations[name]}"
        self.planners[name] = LeaseCoordinator(self._config(name), epoch, self._now(), _ignore_event)

    def kill_planner(self, name: str) -> None:
        """Kills a planner without a message to its forwarders."""
        self.planners[name] = None

    def on_node_started(self, node: Forwarder) -> None:
        """Gives a new incarnation of a node an empty lease cache."""
        self.caches[node.name] = LeaseCache(node.name, self.names, MEMBERSHIP_VERSION)

    def _tick(self) -> None:
        now = self._now()
        for planner in self.planners.values():
            if planner is not None:
                planner.tick(now)
        for node in self.nodes.values():
            if node.is_alive:
                self._update_connections(node)
                self.caches[node.name].tick(now)
                self._deliver(node)
        self._clock.call_after(TICK_MS, self._tick)

    # Connections

    def _update_connections(self, node: Forwarder) -> None:
        for name, planner in self.planners.items():
            if planner is None or not self._is_reachable(node, name):
                self._disconnect(node, name)
            elif self.connections.get((node.name, name)) != self._current_connection(node, name):
                self._connect(node, name, planner)

    def _current_connection(self, node: Forwarder, planner: str) -> _Connection:
        return _Connection(node.incarnation, self.incarnations[planner])

    def _connect(self, node: Forwarder, name: str, planner: LeaseCoordinator) -> None:
        self.connections[node.name, name] = self._current_connection(node, name)
        now = self._now()
        cache = self.caches[node.name]
        cache.handle_disconnected(name)
        welcome = planner.handle_hello(now, cache.build_hello(now))
        cache.handle_connected(now, name, welcome)

    def _disconnect(self, node: Forwarder, name: str) -> None:
        if self.connections.pop((node.name, name), None) is None:
            return
        self.caches[node.name].handle_disconnected(name)
        planner = self.planners[name]
        if planner is not None:
            planner.handle_disconnect(node.name)

    def _is_reachable(self, node: Forwarder, planner: str) -> bool:
        """Returns whether a node reaches a planner; planners, like nodes, are assigned to zones in turn."""
        zone = self.names.index(planner) % self._environment.scenario.cluster.zones
        return self._environment.network.is_reachable(node.zone, zone)

    # Messages

    def _deliver(self, node: Forwarder) -> None:
        output = self.caches[node.name].take_output()
        for name, message in output.messages:
            planner = self.planners[name]
            if planner is not None:
                self._send(
                    message, partial(self._arrive_at_planner, node, node.incarnation, planner, message)
                )
        for event in output.lease_events:
            node.handle(event)

    def _send(self, message: protocol.Message, deliver: partial[None]) -> None:
        size_bytes = len(protocol.encode_frame(message))
        self._environment.network.send_planner_message(size_bytes, deliver)

    def _has_connection(self, node: Forwarder, node_incarnation: int, planner: LeaseCoordinator) -> bool:
        """Whether the connection that a message was sent on is still open."""
        name = planner.config.name
        connection = _Connection(node_incarnation, self.incarnations[name])
        return self.connections.get((node.name, name)) == connection and self.planners[name] is planner

    def _arrive_at_planner(
        self, node: Forwarder, node_incarnation: int, planner: LeaseCoordinator, message: protocol.Message
    ) -> None:
        if not self._has_connection(node, node_incarnation, planner):
            return
        request = cast("protocol.ForwarderMessage", message)
        for recipient, answer in planner.handle_message(self._now(), node.name, request):
            receiver = self.nodes[recipient]
            deliver = partial(self._arrive_at_node, receiver, receiver.incarnation, planner, answer)
            self._send(answer, deliver)

    def _arrive_at_node(
        self, node: Forwarder, node_incarnation: int, planner: LeaseCoordinator, message: protocol.Message
    ) -> None:
        if not self._has_connection(node, node_incarnation, planner):
            return
        answer = cast("protocol.PlannerMessage", message)
        self.caches[node.name].handle_message(self._now(), planner.config.name, answer)
        self._deliver(node)

    # Reports of the policy

    def record_units_spent(self, node: Forwarder, customer: int, plan: str, units: int, lease: int) -> None:
        """Reports units that a node's policy spent, or lacked when it rejected a request."""
        self.caches[node.name].record_units_spent(self._now(), customer, plan, units, lease)
        self._clock.call_after(0.0, self._deliver_if_alive, node, node.incarnation)

    def return_lease(self, node: Forwarder, lease: int, units: int) -> None:
        """Returns a lease that a node's policy no longer uses, with the units left."""
        self.caches[node.name].return_lease(lease, units)
        self._clock.call_after(0.0, self._deliver_if_alive, node, node.incarnation)

    def _deliver_if_alive(self, node: Forwarder, node_incarnation: int) -> None:
        if node.is_alive and node.incarnation == node_incarnation:
            self._deliver(node)
