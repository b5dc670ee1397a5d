"""Sessions of a forwarder with its planners, as the welcomes opened them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.planner import protocol


class PlannerSessions:
    """Incarnations, lease durations and last messages of planners. Times are in ms."""

    def __init__(self) -> None:
        self.epochs: dict[str, str] = {}  # by planner, of connected planners only
        self.lease_durations_ms: dict[str, float] = {}  # by planner, kept after a disconnect
        self.last_received_at_ms: dict[str, float] = {}

    def open(self, now_ms: float, planner: str, welcome: protocol.Welcome) -> None:
        """Opens the session of a planner that answered the hello."""
        self.epochs[planner] = welcome.epoch
        self.lease_durations_ms[planner] = welcome.lease_duration_ms
        self.last_received_at_ms[planner] = now_ms

    def on_message_received(self, now_ms: float, planner: str) -> None:
        """Records the time of a message of a connected planner."""
        self.last_received_at_ms[planner] = now_ms

    def close(self, planner: str) -> None:
        """Closes the session of a planner whose connection ended."""
        self.epochs.pop(planner, None)

    def is_connected(self, planner: str) -> bool:
        """Returns whether there is a connection to the planner."""
        return planner in self.epochs

    def is_current(self, planner: str, epoch: str) -> bool:
        """Returns whether there is a connection to this incarnation of the planner."""
        return self.epochs.get(planner) == epoch

    def lease_duration_ms(self, planner: str) -> float:
        """Returns the duration of the planner's leases; 0 for a planner that was never connected."""
        return self.lease_durations_ms.get(planner, 0.0)
