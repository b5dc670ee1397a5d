"""Delays, partitions and message loss of the simulated network."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Protocol

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.discrete_event.metrics import MESSAGE_BYTES, MESSAGES, MESSAGES_LOST

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.simulation.discrete_event.event_queue import EventQueue
    from onyxpost.simulation.discrete_event.metrics import RunMetrics
    from onyxpost.simulation.discrete_event.scenario import Scenario
    from onyxpost.simulation.discrete_event.scenario_faults import Partition


class PeerNode(Protocol):
    """The interface of an edge node to its peers."""

    node_index: int
    zone: int

    def receive_peer_message(self, sender: int, body: str) -> None:
        """Handles a gossip message from the node with index `sender`."""


class Network:
    """The network between nodes, servers and planners.

    Delays are drawn from one generator in the order of the calls, so a run depends on that order.
    """

    def __init__(self, clock: EventQueue, metrics: RunMetrics, scenario: Scenario, seed: int) -> None:
        self._clock = clock
        self._metrics = metrics
        self._options = scenario.network
        self._update_delay_ms = scenario.endpoint_updates.delay_ms
        self._rng = Random(f"{seed}/links")
        self._partitioned_zone: int | None = None
        self._is_gossip_blocked = False
        self._additional_update_delay_ms = 0.0

    # Partitions

    def start_partition(self, fault: Partition) -> None:
        """Partitions a zone from all others."""
        self._partitioned_zone = fault.zone
        self._is_gossip_blocked = fault.is_gossip_blocked
        self._additional_update_delay_ms = MS_PER_SECOND * fault.endpoint_delay_s

    def end_partition(self) -> None:
        """Ends the current partition and its additional effects."""
        self._partitioned_zone = None
        self._is_gossip_blocked = False
        self._additional_update_delay_ms = 0.0

    def is_reachable(self, source_zone: int, target_zone: int) -> bool:
        """Returns whether two zones can exchange packets."""
        partitioned = self._partitioned_zone
        return partitioned is None or (source_zone == partitioned) == (target_zone == partitioned)

    # Delays

    def one_way_ms(self, source_zone: int, target_zone: int) -> float:
        """Draws a one-way delay in ms between two zones, which may be the same."""
        options = self._options
        same_zone = source_zone == target_zone
        return self._rng.uniform(*(options.within_zone_ms if same_zone else options.between_zones_ms))

    def endpoint_update_delay_ms(self) -> float:
        """Draws the time in ms until a node receives a change of an endpoint."""
        return self._additional_update_delay_ms + self._rng.uniform(*self._update_delay_ms)

    # Messages

    def send_peer_message(self, sender: PeerNode, receiver: PeerNode, body: str) -> None:
        """Sends a gossip message between edge nodes; the message may be lost."""
        options = self._options
        self._metrics.count(MESSAGES)
        self._metrics.count(MESSAGE_BYTES, len(body))
        if (
            self._is_gossip_blocked
            or not self.is_reachable(sender.zone, receiver.zone)
            or self._rng.random() < options.peer_loss_probability
        ):
            self._metrics.count(MESSAGES_LOST)
            return
        self._clock.call_after(
            self._rng.uniform(*options.peer_message_ms),
            receiver.receive_peer_message,
            sender.node_index,
            body,
        )

    def send_planner_message(self, size_bytes: int, deliver: Callable[[], None]) -> None:
        """Sends a message between a node and a planner.

        `deliver` has to check whether the connection is still open when the message arrives.
        """
        self._metrics.count(MESSAGES)
        self._metrics.count(MESSAGE_BYTES, size_bytes)
        self._clock.call_after(self._rng.uniform(*self._options.between_zones_ms), deliver)
