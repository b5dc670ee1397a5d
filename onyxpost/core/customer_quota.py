"""What a node keeps of one customer: token buckets, leases, usage of peers. No decisions here."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.core.token_bucket import TokenBucket
from onyxpost.core.types import Plan
from onyxpost.core.usage_reports import NO_NODE, Placement, UsageReport

UNKNOWN_PLAN = Plan("", 0.0, 0.0, 0, 0.0, 0.0, 0.0)  # until a request or a peer's report names the plan


@dataclass(slots=True)
class Lease:
    """Units of a customer's quota that a planner lets this node spend until `expires_at`, in ms."""

    units: float
    expires_at: float


@dataclass(slots=True)
class PeerUsage:
    """A customer's usage as one peer has last reported it.

    Attributes:
        incarnation: the peer's incarnation; a restarted peer counts from 0 again.
        units_used: the peer's cumulative count.
        in_flight: attempts that it has in flight.
        recent_units: units that its last report added.
        reported_at: when that report was received, in ms.
    """

    incarnation: str = ""
    units_used: int = 0
    in_flight: int = 0
    recent_units: int = 0
    reported_at: float = 0.0


class CustomerQuota:
    """The state of one customer's quota at this node.

    Attributes:
        key: CRC-32 of the customer's key.
        last_seen_at: when a request or report of the customer was last received, in ms.
        quota: tokens in units of the plan's quota.
        hard_limit: tokens of this node's part of the plan's hard limit.
        leases: by lease id.
        in_flight: attempts of this node.
        units_used: cumulative count of units that this node has used.
        units_reported: the part of them that has been reported to all peers, or to the coordinator.
        peers: the other nodes that serve the customer.
        next_peer: number of peers that got a report in the current round; 0 where there is a coordinator.
        coordinator: the node that sums up all nodes' usage, or `NO_NODE`.
        placement: None until the plan is known, and where planners grant leases.
        peer_usage: by the peer's node index.
    """

    def __init__(self, key: int, created_at: float) -> None:
        self.key = key
        self.last_seen_at = created_at
        self.plan = UNKNOWN_PLAN
        self.quota = TokenBucket(created_at)
        self.hard_limit = TokenBucket(created_at)
        self.leases: dict[int, Lease] = {}
        self.in_flight = 0
        self.units_used = 0
        self.units_reported = 0
        self.peers: list[int] = []
        self.next_peer = 0
        self.coordinator = NO_NODE
        self.placement: Placement | None = None
        self.peer_usage: dict[int, PeerUsage] = {}

    @property
    def has_coordinator(self) -> bool:
        """Whether one node of the set sums up all nodes' usage."""
        return self.coordinator != NO_NODE

    def set_plan(self, plan: Plan, quota_share: float, hard_limit_share: float, max_debt_ms: float) -> None:
        """Sets the plan and the shares of its limits that this node's buckets are refilled with."""
        self.plan = plan
        self.quota.configure(plan.rate * quota_share, plan.burst * quota_share, max_debt_ms)
        self.hard_limit.configure(
            plan.hard_limit_rate * hard_limit_share, plan.hard_limit_burst * hard_limit_share
        )

    def refill(self, now: float) -> None:
        """Refills both buckets; before the plan is known there is nothing to refill them with."""
        if self.plan is not UNKNOWN_PLAN:
            self.quota.refill(now)
            self.hard_limit.refill(now)

    def consume(self, units: int, hard_limit_units: int) -> None:
        """Counts units that this node uses."""
        self.quota.consume(units)
        self.units_used += units
        self.hard_limit.consume(hard_limit_units)

    def report(self, new_units: int, transferred_units: int) -> UsageReport:
        """Returns a report of this node's usage."""
        placement = self.placement or Placement(0, 0, 0)
        return UsageReport(self.key, self.units_used, self.in_flight, new_units, transferred_units, placement)
