"""Quorum of forwarders that a planner needs to grant leases: a majority that follows its membership version.

No I/O and no clock: times are arguments, in milliseconds.

Forwarders send heartbeats with the membership version that they follow. A forwarder follows one version at a
time and never an earlier one again, so no two versions have a majority at the same time. A planner that gains
the majority (at its start, after a change of membership or after a loss) first waits until all leases that
other planners may have granted have expired. A planner that is partitioned or has an outdated file loses its
majority and grants nothing, whatever its own file says.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.cluster.heartbeat_timing import HEARTBEAT_INTERVAL_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

HEARTBEAT_VALIDITY_MS = 3 * HEARTBEAT_INTERVAL_MS  # a heartbeat counts for this time after it is received


class PlannerQuorum:
    """The forwarders that follow the membership version of one planner, by their last heartbeats."""

    def __init__(self, forwarders: Sequence[str], membership_version: int) -> None:
        self.forwarders = set(forwarders)
        self.membership_version = membership_version
        self.last_heartbeats_at_ms: dict[str, float] = {}  # by forwarder that follows this version
        self.is_established = False  # `detect_gain` found a majority, and `detect_loss` no loss since

    def record_heartbeat(self, now_ms: float, forwarder: str, membership_version: int) -> bool:
        """Records the version that a forwarder follows; returns whether this planner counts the heartbeat.

        A heartbeat for another version removes the forwarder's last one.
        """
        if forwarder not in self.forwarders or membership_version != self.membership_version:
            self.last_heartbeats_at_ms.pop(forwarder, None)
            return False
        self.last_heartbeats_at_ms[forwarder] = now_ms
        return True

    def remove_follower(self, forwarder: str) -> None:
        """Removes the last heartbeat of a forwarder whose connection ended."""
        self.last_heartbeats_at_ms.pop(forwarder, None)

    def has_majority(self, now_ms: float) -> bool:
        """Returns whether more than half of all forwarders have a valid heartbeat."""
        valid_count = sum(self._is_valid(now_ms, at_ms) for at_ms in self.last_heartbeats_at_ms.values())
        return 2 * valid_count > len(self.forwarders)

    @staticmethod
    def _is_valid(now_ms: float, heartbeat_at_ms: float) -> bool:
        return now_ms - heartbeat_at_ms <= HEARTBEAT_VALIDITY_MS

    def has_all_forwarders(self, now_ms: float) -> bool:
        """Returns whether every forwarder has a valid heartbeat."""
        is_complete = len(self.last_heartbeats_at_ms) == len(self.forwarders)
        return is_complete and all(
            self._is_valid(now_ms, at_ms) for at_ms in self.last_heartbeats_at_ms.values()
        )

    def detect_loss(self, now_ms: float) -> bool:
        """Returns whether the established majority has been lost since the last call.

        After a loss the majority has to be gained again, as at the start. Heartbeats that were sent long ago
        may still be unread or on the network, and must not restore the majority.
        """
        if not self.is_established or self.has_majority(now_ms):
            return False
        self.is_established = False
        return True

    def detect_gain(self, now_ms: float) -> bool:
        """Returns whether the majority has been gained since the last call."""
        if self.is_established or not self.has_majority(now_ms):
            return False
        self.is_established = True
        return True

    def update_membership(self, forwarders: Sequence[str], membership_version: int) -> bool:
        """Removes all heartbeats if the version or the forwarders changed; returns whether they did."""
        if membership_version == self.membership_version and set(forwarders) == self.forwarders:
            return False
        self.forwarders = set(forwarders)
        self.membership_version = membership_version
        self.last_heartbeats_at_ms = {}
        self.is_established = False
        return True
