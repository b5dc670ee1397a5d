"""When a node counts as notified of a server's state. Times are in ms.

A node is notified when it receives a state. By the operators' rule, a change also counts as known
`PROPAGATION_MS` after discovery had it and could be reached, whether or not the node's polls succeeded.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from onyxpost.core.types import EndpointState

PROPAGATION_MS = 6000.0  # time after which a change counts as known, whether or not it was received

EndpointKey = tuple[str, str]
"""The name of a node and the id of a server."""


class EndpointNotification(NamedTuple):
    """The time from which a node knows, or counts as knowing, that a server is draining or gone."""

    at_ms: float
    was_received: bool
    """Whether the node received it; otherwise it only counts as notified."""


class EndpointKnowledge:
    """The times from which each node knows, or counts as knowing, the states of servers."""

    def __init__(self) -> None:
        self._drain_received_at_ms: dict[EndpointKey, float] = {}
        self._drain_known_from_ms: dict[EndpointKey, float] = {}
        self._start_known_from_ms: dict[EndpointKey, float] = {}  # received or counted as known

    def on_notified(self, at_ms: float, node: str, server: str, state: EndpointState) -> None:
        """Records that a node has received the state of a server."""
        key = (node, server)
        if state is EndpointState.READY:
            self._drain_received_at_ms.pop(key, None)
            self._start_known_from_ms[key] = min(at_ms, self._start_known_from_ms.get(key, at_ms))
        else:
            self._drain_received_at_ms.setdefault(key, at_ms)

    def on_available(self, known_from_ms: float, node: str, server: str, state: EndpointState) -> None:
        """Records that a node can poll the state of a server; it counts as known from `known_from_ms`."""
        key = (node, server)
        if state is EndpointState.READY:
            self._drain_known_from_ms.pop(key, None)
            self._start_known_from_ms.setdefault(key, known_from_ms)
        else:
            self._drain_known_from_ms.setdefault(key, known_from_ms)

    def on_discovery_replaced(self, node: str) -> None:
        """Discards the drains that count as known only because the replaced discovery agent had them."""
        _remove_node(self._drain_known_from_ms, node)

    def on_node_killed(self, node: str) -> None:
        """Discards all states that the node knew, since its next incarnation is notified again."""
        _remove_node(self._drain_received_at_ms, node)
        _remove_node(self._drain_known_from_ms, node)
        _remove_node(self._start_known_from_ms, node)

    def drain_notification(self, node: str, server: str) -> EndpointNotification | None:
        """Returns the earliest notification of the server's drain; None if the node has none."""
        key = (node, server)
        received_at_ms = self._drain_received_at_ms.get(key)
        known_from_ms = self._drain_known_from_ms.get(key)
        if received_at_ms is not None and (known_from_ms is None or received_at_ms <= known_from_ms):
            return EndpointNotification(received_at_ms, was_received=True)
        if known_from_ms is not None:
            return EndpointNotification(known_from_ms, was_received=False)
        return None

    def knows_start(self, at_ms: float, node: str, server: str) -> bool:
        """Whether the node knows, or counts as knowing, that this incarnation of the server has started."""
        return self._start_known_from_ms.get((node, server), inf) <= at_ms


def _remove_node(times: dict[EndpointKey, float], node: str) -> None:
    for key in [key for key in times if key[0] == node]:
        del times[key]
