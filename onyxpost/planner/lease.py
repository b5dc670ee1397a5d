"""A lease, as the planner that granted it counts its units."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Lease:
    """Units of a customer's quota that one forwarder may use until the lease expires. Times are in ms."""

    lease_id: int
    forwarder: str
    customer: int
    units: int  # neither reported as spent nor returned
    expires_at_ms: float  # by the planner's clock
    last_used_at_ms: float = 0.0  # time of the last usage report; before the first one, time of the grant
    is_revoked: bool = False

    def record_use(self, now_ms: float, units: int) -> int:
        """Subtracts reported units from the lease; returns how many, at most the units that were left."""
        spent = min(max(0, units), self.units)
        self.units -= spent
        self.last_used_at_ms = now_ms
        return spent

    def revoke(self) -> None:
        """Marks the lease as revoked; its units stay leased until it is returned or expires."""
        self.is_revoked = True
