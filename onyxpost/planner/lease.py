"""A lease as its planner counts it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Lease:
    """Units of a customer's quota that one forwarder may use until the lease expires. Times are in ms."""

    lease_id: int
    forwarder: str
    customer: int
    units: int  # neither spent nor returned, as far as the planner knows
    expires_at_ms: float  # by the planner's clock
    last_used_at_ms: float = 0.0  # when use was last reported, at first when it was granted
    is_revoked: bool = False

    def record_use(self, now_ms: float, units: int) -> int:
        """Takes reported units out of the lease; returns how many, which is no more than it has."""
        spent = min(max(0, units), self.units)
        self.units -= spent
        self.last_used_at_ms = now_ms
        return spent

    def revoke(self) -> None:
        """Marks the lease as called back from its forwarder."""
        self.is_revoked = True
