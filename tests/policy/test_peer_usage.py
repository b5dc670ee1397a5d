"""How peers' reports and corrections count in a customer's bucket and towards its concurrency limit."""

from __future__ import annotations

from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.types import Plan
from onyxpost.core.usage_reports import PeerUsageReport, Placement, QuotaCorrection
from onyxpost.policy.peer_usage import PeerUsageAccounting

NOW = 1000.0
PLACEMENT = Placement(0, 0, 3)


def customer_with_limit(concurrency_limit: int) -> CustomerQuota:
    """Returns a customer with a concurrency limit and 50 tokens."""
    customer = CustomerQuota(1, NOW)
    customer.set_plan(Plan("p", 10.0, 50.0, concurrency_limit, 1.0, 0.0, 0.0), 1.0, 1.0, 1000.0)
    customer.quota.tokens = 50.0
    return customer


def test_attempts_at_all_nodes_reach_the_concurrency_limit_while_reports_are_recent() -> None:
    accounting = PeerUsageAccounting()
    customer = customer_with_limit(5)
    customer.in_flight = 2
    accounting.apply_report(customer, NOW, 1, "a", PeerUsageReport(1, 0, 3, 0, 0, PLACEMENT))
    assert accounting.total_in_flight(customer, NOW) == 5
    assert accounting.total_in_flight(customer, NOW, excluded_peer=1) == 2
    assert accounting.at_concurrency_limit(customer, NOW)
    assert not accounting.at_concurrency_limit(customer, NOW + accounting.MAX_AGE_MS)


def test_a_plan_without_a_concurrency_limit_never_reaches_it() -> None:
    customer = customer_with_limit(0)
    customer.in_flight = 1000
    assert not PeerUsageAccounting().at_concurrency_limit(customer, NOW)


def test_a_restarted_peer_is_counted_from_zero() -> None:
    accounting = PeerUsageAccounting()
    customer = customer_with_limit(0)
    for incarnation, units_used in (("a", 10), ("a", 14), ("b", 3)):
        report = PeerUsageReport(1, units_used, 0, 1, 0, PLACEMENT)
        accounting.apply_report(customer, NOW, 1, incarnation, report)
    assert customer.quota.tokens == 50.0 - 1 - 4 - 3  # of the first report only the new units count


def test_a_correction_sets_the_bucket_less_what_is_not_reported_yet() -> None:
    customer = customer_with_limit(0)
    customer.units_used = 9
    customer.units_reported = 7
    PeerUsageAccounting().apply_correction(customer, NOW, 1, QuotaCorrection(1, 20, 4))
    assert customer.quota.tokens == 50.0 - 20 - 2
    assert customer.peer_usage[1].in_flight == 4
