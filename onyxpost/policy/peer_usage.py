"""How the usage that peers report counts: in a customer's buckets and towards its concurrency limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.customer_quota import PeerUsage

if TYPE_CHECKING:
    from onyxpost.core.customer_quota import CustomerQuota
    from onyxpost.core.usage_reports import QuotaCorrection, UsageReport


class PeerUsageAccounting:
    """Applies what peers report, and adds up attempts in flight at all nodes."""

    MAX_AGE_MS = 3000.0  # older reports of peers do not count

    def total_in_flight(self, customer: CustomerQuota, now: float, excluded_peer: int | None = None) -> int:
        """Returns the customer's attempts in flight at all nodes, of peers by their recent reports."""
        return customer.in_flight + sum(
            usage.in_flight
            for peer, usage in customer.peer_usage.items()
            if peer != excluded_peer and now - usage.reported_at < self.MAX_AGE_MS
        )

    def at_concurrency_limit(self, customer: CustomerQuota, now: float) -> bool:
        """Returns whether all nodes together have as many attempts in flight as the plan permits."""
        return 0 < customer.plan.concurrency_limit <= self.total_in_flight(customer, now)

    def apply_report(
        self, customer: CustomerQuota, now: float, peer: int, incarnation: str, report: UsageReport
    ) -> None:
        """Takes what a peer has used since its last report from the customer's bucket.

        A cumulative count makes a lost or repeated message harmless. Of the first report only `new_units`
        count: the rest may have been used, and refilled, before this node started. Transferred units have
        no such count: a lost message loses them, a repeated one would add them twice.
        """
        usage = customer.peer_usage.setdefault(peer, PeerUsage())
        if usage.incarnation == incarnation:
            units = report.units_used - usage.units_used
        else:
            units = report.units_used if usage.incarnation else report.new_units
        peer_forgot_customer = units < 0 and report.units_used == report.new_units  # it counts from 0 again
        customer.last_seen_at = now
        customer.refill(now)
        customer.quota.consume(report.new_units if peer_forgot_customer else units)
        customer.hard_limit.tokens += report.transferred_units
        customer.peer_usage[peer] = PeerUsage(incarnation, report.units_used, report.in_flight, units, now)

    def apply_correction(
        self, customer: CustomerQuota, now: float, peer: int, correction: QuotaCorrection
    ) -> None:
        """Sets the bucket to what the coordinator knows, less the units not yet reported to it."""
        usage = customer.peer_usage.setdefault(peer, PeerUsage())
        usage.in_flight = correction.in_flight
        usage.reported_at = now
        customer.last_seen_at = now
        customer.quota.refilled_at = now
        customer.hard_limit.refilled_at = now
        unreported_units = customer.units_used - customer.units_reported
        customer.quota.tokens = customer.plan.burst - correction.used_units - unreported_units
