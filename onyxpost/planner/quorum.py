"""Whether a planner may grant: only while a majority of forwarders follows its membership version.

Pure state: no I/O and no clock; every time is passed in, in milliseconds.

Forwarders send heartbeats with the membership version that they follow. A forwarder follows one version at a
time and never goes back to an earlier one, so no two versions have a majority at once. A planner that gains
the majority (at its start, after a change of membership or after a loss) first waits until all leases that
others may have granted are over. A planner that is partitioned, or has an outdated file, loses its majority
and grants nothing, whatever its own view is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.cluster.heartbeat_timing import HEARTBEAT_INTERVAL_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

HEARTBEAT_VALIDITY_MS = 3 * HEARTBEAT_INTERVAL_MS  # how long a forwarder's heartbeat counts


class PlannerQuorum:
    """One planner's view of which forwarders follow its membership version."""

    def __init__(self, forwarders: Sequence[str], membership_version: int) -> None:
        self.forwarders = set(forwarders)
        self.membership_version = membership_version
        self.last_heartbeats_at_ms: dict[str, float] = {}  # time of each follower's last heartbeat
        self.is_established = False  # a gain was detected, and no loss since

    def record_heartbeat(self, now_ms: float, forwarder: str, membership_version: int) -> bool:
        """Records the version that a forwarder follows; returns whether it counts for this planner."""
        if forwarder not in self.forwarders or membership_version != self.membership_version:
            self.last_heartbeats_at_ms.pop(forwarder, None)
            return False
        self.last_heartbeats_at_ms[forwarder] = now_ms
        return True

    def remove_follower(self, forwarder: str) -> None:
        """A forwarder's connection ended; its last heartbeat counts no longer."""
        self.last_heartbeats_at_ms.pop(forwarder, None)

    def has_majority(self, now_ms: float) -> bool:
        """Whether more than half of all forwarders sent a valid heartbeat."""
        alive = sum(self._is_valid(now_ms, at_ms) for at_ms in self.last_heartbeats_at_ms.values())
        return 2 * alive > len(self.forwarders)

    @staticmethod
    def _is_valid(now_ms: float, heartbeat_at_ms: float) -> bool:
        return now_ms - heartbeat_at_ms <= HEARTBEAT_VALIDITY_MS

    def has_all(self, now_ms: float) -> bool:
        """Whether every forwarder sent a valid heartbeat."""
        is_complete = len(self.last_heartbeats_at_ms) == len(self.forwarders)
        return is_complete and all(
            self._is_valid(now_ms, at_ms) for at_ms in self.last_heartbeats_at_ms.values()
        )

    def detect_loss(self, now_ms: float) -> bool:
        """Whether the established majority has been lost since the last call.

        Heartbeats sent long ago may still be unread, here or on the way, and would seem to restore the
        majority; so it has to be gained again, as at the start.
        """
        if not self.is_established or self.has_majority(now_ms):
            return False
        self.is_established = False
        return True

    def detect_gain(self, now_ms: float) -> bool:
        """Whether the majority has been gained since the last call."""
        if self.is_established or not self.has_majority(now_ms):
            return False
        self.is_established = True
        return True

    def update_membership(self, forwarders: Sequence[str], membership_version: int) -> bool:
        """Starts from no heartbeats if the version or the forwarders changed; returns whether they did."""
        if membership_version == self.membership_version and set(forwarders) == self.forwarders:
            return False
        self.forwarders = set(forwarders)
        self.membership_version = membership_version
        self.last_heartbeats_at_ms = {}
        self.is_established = False
        return True
