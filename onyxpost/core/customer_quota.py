"""A node's record of one customer: token buckets, leases and the usage of peers."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.core.customer_key import customer_hash
from onyxpost.core.token_bucket import TokenBucket
from onyxpost.core.types import Plan
from onyxpost.core.usage_reports import NO_NODE, PeerUsageReport, Placement

UNKNOWN_PLAN = Plan("", 0.0, 0.0, 0, 0.0, 0.0, 0.0)  # plan of a customer until a request or report names it


@dataclass(slots=True)
class Lease:
    """Units of a customer's quota that a planner lets this node spend until `expires_at` (ms)."""

    units: float
    expires_at: float


@dataclass(slots=True)
class PeerUsage:
    """A customer's usage, as last reported by one peer.

    Attributes:
        incarnation: the peer's incarnation; a restarted peer counts from 0 again.
        units_used: the peer's cumulative count of units.
        in_flight: the peer's attempts in flight.
        recent_units: units that the last report added to the count; negative if the peer's count has
            decreased, for example because the peer has forgotten the customer or a message has arrived late.
        reported_at: when the last report was received, in ms.
    """

    incarnation: str = ""
    units_used: int = 0
    in_flight: int = 0
    recent_units: int = 0
    reported_at: float = 0.0


class CustomerQuota:
    """The state of one customer's quota at this node.

    Attributes:
        key: the customer's key, by which nodes identify the customer to each other.
        hash: CRC-32 of the customer's name, for preference orders, coordinators and routing rules.
        last_seen_at: when a request or report of the customer was last received, in ms.
        plan: the customer's plan; `UNKNOWN_PLAN` until it is known.
        quota: the token bucket of the plan's quota, in units.
        hard_limit: the token bucket of this node's part of the plan's hard limit, in units.
        leases: the leases that this node holds, by lease id.
        in_flight: attempts in flight from this node.
        units_used: cumulative count of units that this node has used.
        units_reported: `units_used` as of the last report to all peers, or to the coordinator.
        peers: the other nodes that serve the customer; empty if planners grant leases.
        reported_peer_count: number of peers that got a report in the current round of reports; 0 if there is
            a coordinator.
        coordinator: index of the quota coordinator, or `NO_NODE`.
        placement: plan and nodes of the customer; None until the plan is known, and always None if planners
            grant leases.
        peer_usage: usage reported by peers, by node index.
    """

    def __init__(self, key: int, created_at: float) -> None:
        self.key = key
        self.hash = customer_hash(key)
        self.last_seen_at = created_at
        self.plan = UNKNOWN_PLAN
        self.quota = TokenBucket(created_at)
        self.hard_limit = TokenBucket(created_at)
        self.leases: dict[int, Lease] = {}
        self.in_flight = 0
        self.units_used = 0
        self.units_reported = 0
        self.peers: list[int] = []
        self.reported_peer_count = 0
        self.coordinator = NO_NODE
        self.placement: Placement | None = None
        self.peer_usage: dict[int, PeerUsage] = {}

    @property
    def has_coordinator(self) -> bool:
        """Whether a quota coordinator sums the usage of all nodes."""
        return self.coordinator != NO_NODE

    def set_plan(self, plan: Plan, quota_share: float, hard_limit_share: float, max_debt_ms: float) -> None:
        """Sets the plan, and the shares of its limits with which this node's buckets are refilled.

        Args:
            plan: the plan.
            quota_share: this node's share of the quota.
            hard_limit_share: this node's share of the hard limit.
            max_debt_ms: largest debt of the quota's bucket, as the time to refill it. The debt of the hard
                limit's bucket is not bounded.
        """
        self.plan = plan
        self.quota.configure(plan.rate * quota_share, plan.burst * quota_share, max_debt_ms)
        self.hard_limit.configure(
            plan.hard_limit_rate * hard_limit_share, plan.hard_limit_burst * hard_limit_share
        )

    def refill(self, now: float) -> None:
        """Refills both buckets; does nothing until the plan is known."""
        if self.plan is not UNKNOWN_PLAN:
            self.quota.refill(now)
            self.hard_limit.refill(now)

    def consume(self, units: int, hard_limit_units: int) -> None:
        """Takes units from both buckets and counts them as used by this node."""
        self.quota.consume(units)
        self.units_used += units
        self.hard_limit.consume(hard_limit_units)

    def report(self, new_units: int, transferred_units: int) -> PeerUsageReport:
        """Returns a report of this node's usage, to be sent to a peer."""
        placement = self.placement or Placement(0, 0, 0)
        return PeerUsageReport(
            self.key, self.units_used, self.in_flight, new_units, transferred_units, placement
        )
