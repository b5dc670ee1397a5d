"""Collects the effects of a round. No I/O."""

from __future__ import annotations

from onyxpost.edge.messages import (
    Effect,
    ReportUnitsSpent,
    ReturnLease,
    SendPeerMessage,
    StartTimer,
    WatchEndpoints,
    encode_datagram,
)
from onyxpost.runtime.log_event import LogEvent


class EffectSink:
    """Turns the decisions that need no state of the node into effects, in the order in which they are made.

    It implements the calls of `onyxpost.core.sink.DecisionSink` that refer to no pending request.
    """

    def __init__(self) -> None:
        """Creates a sink without effects."""
        self.effects: list[Effect] = []

    def send_peer_message(self, peer: int, body: str) -> None:
        """Sends one message to another node."""
        self.effects.append(SendPeerMessage(peer, encode_datagram(body)))

    def start_timer(self, delay_ms: float, token: int) -> None:
        """Delivers `TimerFired(token)` after the delay."""
        self.effects.append(StartTimer(delay_ms, token))

    def log(self, line: str) -> None:
        """Logs a line of the policy, such as a change of its mode, as the event `mode`."""
        self.effects.append(LogEvent("mode", {"line": line}))

    def watch_endpoints(self) -> None:
        """Starts the watch on discovery, if it has not started yet."""
        self.effects.append(WatchEndpoints())

    def report_units_spent(self, customer: int, plan: str, units: int, lease_id: int) -> None:
        """Reports units that a request took from a lease, or from this node's own share (lease 0)."""
        self.effects.append(ReportUnitsSpent(customer, plan, units, lease_id))

    def return_lease(self, lease_id: int, units: int) -> None:
        """Gives a lease back with the units that are left of it."""
        self.effects.append(ReturnLease(lease_id, units))
