"""What a forwarder knows of the planners that it is connected to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.planner import protocol


class PlannerSessions:
    """Incarnations of the connected planners, and when they last sent anything. Times are in ms."""

    def __init__(self) -> None:
        self.epochs: dict[str, str] = {}  # of the planners that are connected
        self.lease_durations_ms: dict[str, float] = {}  # kept after a disconnect
        self.last_received_at_ms: dict[str, float] = {}

    def open(self, now_ms: float, planner: str, welcome: protocol.Welcome) -> None:
        """A planner answered the hello."""
        self.epochs[planner] = welcome.epoch
        self.lease_durations_ms[planner] = welcome.lease_duration_ms
        self.last_received_at_ms[planner] = now_ms

    def on_message_received(self, now_ms: float, planner: str) -> None:
        """A connected planner sent a message."""
        self.last_received_at_ms[planner] = now_ms

    def close(self, planner: str) -> None:
        """A planner's connection ended."""
        self.epochs.pop(planner, None)

    def is_connected(self, planner: str) -> bool:
        """Whether there is a connection to the planner."""
        return planner in self.epochs

    def is_current(self, planner: str, epoch: str) -> bool:
        """Whether there is a connection to this incarnation of the planner."""
        return self.epochs.get(planner) == epoch

    def lease_duration_ms(self, planner: str) -> float:
        """Duration of the planner's leases; 0 for one that was never connected."""
        return self.lease_durations_ms.get(planner, 0.0)
