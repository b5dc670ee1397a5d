"""Entry of a forwarder's lease cache. Times are in milliseconds by the forwarder's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.planner import protocol

NOT_ACCEPTED = 0  # local id of leases that were not accepted, and of units used without a lease


@dataclass(slots=True)
class CachedLease:
    """A lease that this forwarder holds, and the units of it that are left."""

    planner: str
    epoch: str  # incarnation of the planner that granted the lease
    lease_id: int  # given by the planner
    customer: int
    plan: str
    expires_at_ms: float
    units_left: int
    reported_units_left: int  # `units_left` as of the last usage report

    @classmethod
    def from_grant(cls, planner: str, grant: protocol.LeaseGrant, expires_at_ms: float) -> CachedLease:
        """Creates the lease of a grant, with no units spent."""
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
        """Subtracts units that a client request consumed; more than were left make `units_left` negative."""
        self.units_left -= units

    def take_unreported_units(self) -> int:
        """Returns the units to report as spent since the last report; 0 if `units_left` is negative.

        The caller sends the report: the units are not returned again.
        """
        if self.units_left < 0:
            return 0
        spent = self.reported_units_left - self.units_left
        self.reported_units_left = self.units_left
        return spent
