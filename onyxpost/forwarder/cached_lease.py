"""What a forwarder keeps of each lease. Times are in milliseconds by the forwarder's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

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


class LeaseKey(NamedTuple):
    """Identifies a lease: its id is unique within an incarnation of its planner."""

    epoch: str
    lease_id: int


class SeenLease(NamedTuple):
    """What is remembered of a lease, also after its end."""

    forget_at_ms: float
    local_id: int


NEVER_SEEN = SeenLease(0.0, NOT_ACCEPTED)
