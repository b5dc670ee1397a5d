"""Decides what customers may spend at this node, by token buckets, hard limits, leases and peers' usage."""

from collections.abc import Callable

from onyxpost.core.customer_quota import UNKNOWN_PLAN, CustomerQuota
from onyxpost.core.customer_table import CustomerTable
from onyxpost.core.events import CustomerLimitChanged
from onyxpost.core.options import GatewayOptions
from onyxpost.core.requests import Request
from onyxpost.core.sink import DecisionSink
from onyxpost.core.usage_reports import Placement
from onyxpost.policy.hard_limit_queue import HardLimitQueue
from onyxpost.policy.leases import leased_units
from onyxpost.policy.peer_usage import PeerUsageAccounting

CapacityRule = Callable[[float, Request], bool]  # arguments: time in ms, request


class QuotaPolicy:
    """Decides what customers may spend at this node.

    Attributes:
        customers: the customers that this node knows.
        peer_usage: applies the usage that peers report.
    """

    FORGET_AFTER_MS = 20000.0  # time since a customer was last seen after which it is dropped if unused
    # From this share of the customers that the memory holds, unused ones are dropped however recently seen.
    CROWDED_SHARE = 0.75
    CROWDED_SWEEP_MS = 250.0  # time between two searches for unused customers while there are so many
    SWEEP_FRACTION = 0.25  # time between two searches for unused customers, as a fraction of that time
    MAX_DEBT_MS = 1000.0  # largest debt of a bucket due to peers' usage, as the time to refill it
    # Largest number of peers that get reports in turn. A larger set has a coordinator, unless the plan has a
    # hard limit.
    MAX_GOSSIP_PEERS = 4
    # Fraction of the burst: the coordinator sends corrections once this much is used, and nodes admit at
    # random once less than this is left.
    LOW_TOKENS_FRACTION = 0.5

    def __init__(self, options: GatewayOptions, customers: CustomerTable) -> None:
        self._options = options
        self.customers = customers
        self.peer_usage = PeerUsageAccounting()
        self._next_sweep_at = customers.started_at
        self._next_crowded_sweep_at = customers.started_at
        self._capacity_rule: CapacityRule = self._may_spend

    def assign_plan(self, customer: CustomerQuota, now: float, placement: Placement) -> None:
        """Records that the customer was seen; sets its plan if this is the first request or report of it."""
        customer.last_seen_at = now
        if customer.plan is not UNKNOWN_PLAN:
            return
        plan = self._options.plans[placement.plan_index]
        share = 1.0 / max(1, placement.set_size)
        if safe_share := self._options.limits.safe_share:
            # The buckets start with only the tokens since this node's start, as an earlier incarnation may
            # have spent earlier ones. Planners grant leases of the rest.
            customer.set_plan(plan, share * safe_share, share * safe_share, self.MAX_DEBT_MS)
            return
        node_count = self._options.node_count
        customer.peers = placement.peers_of(self._options.node_index, node_count)
        # A plan with a hard limit has no coordinator: spare hard-limit tokens are transferred in the reports
        # that nodes send to each of their peers, and with a coordinator nodes report to it only.
        if len(customer.peers) > self.MAX_GOSSIP_PEERS and not plan.hard_limit_rate:
            customer.coordinator = placement.member_for_hash(customer.hash, node_count)
        customer.placement = placement
        customer.set_plan(plan, 1.0, share, self.MAX_DEBT_MS)
        # A new bucket starts with this node's share of the burst. In a large set, where a share may be less
        # than one request, it starts with the whole burst, which the coordinator soon corrects. The hard
        # limit starts with only the tokens since this node's start, as earlier ones may have been spent.
        customer.quota.tokens += plan.burst * (1.0 if customer.has_coordinator else share)
        customer.refill(now)

    def forget_unused(self, now: float, queue: HardLimitQueue) -> None:
        """Drops customers that are unused and were last seen more than `FORGET_AFTER_MS` ago.

        While the customers nearly exceed the memory, unused ones are dropped at once. Their buckets are full,
        so that they lose nothing and gain nothing.
        """
        is_crowded = len(self.customers.by_key) > self.CROWDED_SHARE * self.customers.max_count
        if now < (self._next_crowded_sweep_at if is_crowded else self._next_sweep_at):
            return
        self._next_sweep_at = now + self.SWEEP_FRACTION * self.FORGET_AFTER_MS
        self._next_crowded_sweep_at = now + self.CROWDED_SWEEP_MS
        forget_after_ms = 0.0 if is_crowded else self.FORGET_AFTER_MS
        for key, customer in list(self.customers.by_key.items()):
            is_forgettable = self._is_unused(customer, now) and now - customer.last_seen_at > forget_after_ms
            if is_crowded and customer.peers and customer.units_used != customer.units_reported:
                continue  # its peers do not know yet what it has used
            if is_forgettable and not queue.has_requests(customer):
                del self.customers.by_key[key]

    def on_customer_limit_changed(
        self, _now: float, event: CustomerLimitChanged, _sink: DecisionSink
    ) -> None:
        """Sets the number of customers that the memory holds."""
        self.customers.max_count = event.max_customers

    def _is_unused(self, customer: CustomerQuota, now: float) -> bool:
        """Returns whether the customer has full buckets, no attempts in flight and no leases."""
        customer.refill(now)
        has_full_buckets = customer.quota.is_full() and customer.hard_limit.is_full()
        return has_full_buckets and not customer.in_flight and not customer.leases

    def has_capacity(self, now: float, request: Request) -> bool:
        """Returns whether buckets or leases hold the request's units, within the concurrency limit."""
        return self._capacity_rule(now, request)

    def replace_capacity_rule(self, rule: CapacityRule) -> None:
        """Replaces the rule behind `has_capacity`; used by mutation testing only."""
        self._capacity_rule = rule

    def _may_spend(self, now: float, request: Request) -> bool:
        customer = request.customer
        customer.refill(now)
        has_own_units = customer.quota.holds(request.units) and customer.hard_limit.holds(request.units)
        has_units = has_own_units or leased_units(customer, now) >= request.units
        return has_units and not self.peer_usage.at_concurrency_limit(customer, now)

    def quota_admission_probability(self, customer: CustomerQuota) -> float:
        """Returns the probability of admission, below 1 if there is a coordinator and few tokens are left.

        Values above 1 mean 1, and values below 0 mean 0.

        This is independent of the load shedder's rejection probability.
        """
        # All nodes count the same tokens. If each admitted every request while tokens are left, all together
        # would exceed the quota by the requests that arrive before the coordinator's next correction.
        pressure_tokens = self.LOW_TOKENS_FRACTION * customer.plan.burst if customer.has_coordinator else 0.0
        return customer.quota.tokens / pressure_tokens if pressure_tokens else 1.0

    def deferral_ms(self, now: float, request: Request, queued_units: int) -> float | None:
        """Returns the time until the hard limit holds a request's units and the queued ones before it.

        Returns None if the request must not wait.

        Args:
            now: the time, in ms.
            request: the request that would wait.
            queued_units: units of the customer's requests that are queued already.
        """
        customer = request.customer
        customer.refill(now)
        bucket = customer.hard_limit
        units = request.units + queued_units
        could_wait = bucket.rate and customer.quota.tokens >= units and request.units <= bucket.burst
        if not could_wait or self.peer_usage.at_concurrency_limit(customer, now):
            return None
        return bucket.wait_ms(units)
