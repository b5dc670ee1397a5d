"""What a forwarder keeps of each lease. Times are in milliseconds by the forwarder's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.planner import protocol

NOT_ACCEPTED = 0  # local id of leases that were never accepted


@dataclass(slots=True)
class CachedLease:
    """A lease that this forwarder holds."""

    planner: str
    epoch: str  # the planner's incarnation
    lease_id: int  # given by the planner
    customer: int
    plan: str
    expires_at_ms: float
    units_left: int
    reported_units_left: int  # `units_left` at the last report to the planner

    @classmethod
    def from_grant(cls, planner: str, grant: protocol.LeaseGrant, expires_at_ms: float) -> CachedLease:
        """The lease of a grant, none of it spent."""
        return cls(
            planner=planner,
            epoch=grant.epoch,
            lease_id=grant.lease_id,
            customer=grant.customer,
            plan=grant.plan,
            expires_at_ms=expires_at_ms,
            units_left=grant.units,
            reported_units_left=grant.units,
        )

    def spend(self, units: int) -> None:
        """Takes units that a client request consumed; more than are left is possible in a race."""
        self.units_left -= units

    def take_unreported_units(self) -> int:
        """Units spent since the last report, which counts as sent now; 0 if the lease is overdrawn."""
        if self.units_left < 0:
            return 0
        spent = self.reported_units_left - self.units_left
        self.reported_units_left = self.units_left
        return spent
