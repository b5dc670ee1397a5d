"""Applies the usage that peers report to customers' token buckets and concurrency limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.customer_quota import PeerUsage

if TYPE_CHECKING:
    from onyxpost.core.customer_quota import CustomerQuota
    from onyxpost.core.usage_reports import PeerUsageReport, QuotaCorrection


class PeerUsageAccounting:
    """Applies reports and corrections of peers, and sums the attempts in flight at all nodes."""

    MAX_AGE_MS = 3000.0  # age from which on a peer's report of attempts in flight is ignored

    def total_in_flight(self, customer: CustomerQuota, now: float, excluded_peer: int | None = None) -> int:
        """Returns the customer's attempts in flight at this node, plus those in recent reports of peers.

        The reports of `excluded_peer` are left out.
        """
        return customer.in_flight + sum(
            usage.in_flight
            for peer, usage in customer.peer_usage.items()
            if peer != excluded_peer and now - usage.reported_at < self.MAX_AGE_MS
        )

    def at_concurrency_limit(self, customer: CustomerQuota, now: float) -> bool:
        """Returns whether the attempts in flight at all nodes reach the concurrency limit of the plan."""
        return 0 < customer.plan.concurrency_limit <= self.total_in_flight(customer, now)

    def apply_report(
        self, customer: CustomerQuota, now: float, peer: int, incarnation: str, report: PeerUsageReport
    ) -> None:
        """Takes the units that a peer has used since its last report from the customer's bucket.

        Reports carry a cumulative count, so lost and repeated messages do no harm. Of a peer's first report
        only `new_units` count, because the other units may have been used and refilled before this node
        started. Transferred units have no cumulative count: a lost message loses them, and a repeated message
        would add them twice.
        """
        usage = customer.peer_usage.setdefault(peer, PeerUsage())
        if usage.incarnation == incarnation:
            units = report.units_used - usage.units_used
        else:
            units = report.units_used if usage.incarnation else report.new_units
        # If the count has decreased to just the new units, the peer has forgotten the customer and counts
        # from 0 again.
        is_count_restarted = units < 0 and report.units_used == report.new_units
        customer.last_seen_at = now
        customer.refill(now)
        customer.quota.consume(report.new_units if is_count_restarted else units)
        customer.hard_limit.tokens += report.transferred_units
        customer.peer_usage[peer] = PeerUsage(incarnation, report.units_used, report.in_flight, units, now)

    def apply_correction(
        self, customer: CustomerQuota, now: float, peer: int, correction: QuotaCorrection
    ) -> None:
        """Sets the quota's tokens to the coordinator's, less the units that are not yet reported to it."""
        usage = customer.peer_usage.setdefault(peer, PeerUsage())
        usage.in_flight = correction.in_flight
        usage.reported_at = now
        customer.last_seen_at = now
        customer.quota.refilled_at = now
        customer.hard_limit.refilled_at = now
        unreported_units = customer.units_used - customer.units_reported
        customer.quota.tokens = customer.plan.burst - correction.missing_tokens - unreported_units
