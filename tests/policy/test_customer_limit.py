"""A node knows no more customers than its memory holds."""

from __future__ import annotations

from onyxpost.core.events import CustomerLimitChanged
from onyxpost.core.types import AttemptResult, Plan
from tests.policy.gateway_host import Decision, Host

LIMIT = 8
CROWDED_COUNT = 7  # more than three quarters of the limit
SLOW_PLAN = Plan("p", 1.0, 9000.0, 0, 1.0, 0.0, 0.0)  # a used unit is back after a second


def limited_host(plan: Plan | None = None) -> Host:
    host = Host(node_count=1, plan=plan)
    host.handle(CustomerLimitChanged(LIMIT))
    return host


def serve(host: Host, customer: str) -> list[Decision]:
    """Passes a request of a customer, which is answered if it is sent; returns the decisions."""
    decisions = host.arrive(customer=customer, set_size=1)
    for decision in decisions:
        if decision[0] == "attempt":
            host.end(decision[1], AttemptResult.OK)
    return decisions


def known_count(host: Host) -> int:
    return len(host.gateway.state.customers.by_key)


def test_customers_under_ever_new_names_do_not_make_the_table_exceed_its_limit() -> None:
    # Guards against memory that grows while a client sends each request under another name.
    host = limited_host(SLOW_PLAN)
    for number in range(20 * LIMIT):
        serve(host, f"new-{number}")
        assert known_count(host) <= LIMIT


def test_beyond_the_limit_a_new_customer_is_rejected_and_a_known_one_is_served() -> None:
    host = limited_host(SLOW_PLAN)
    for number in range(LIMIT):
        assert serve(host, f"known-{number}")[0][0] == "attempt"
    assert [decision[0] for decision in serve(host, "new")] == ["reject"]
    assert serve(host, "known-0")[0][0] == "attempt"


def test_unused_customers_are_dropped_early_only_while_there_are_many() -> None:
    host = limited_host()
    for number in range(CROWDED_COUNT - 1):
        serve(host, f"few-{number}")
    host.run(5000.0)
    assert known_count(host) == CROWDED_COUNT - 1
    serve(host, "one-more")
    host.run(500.0)
    assert known_count(host) == 0
    assert serve(host, "few-0")[0][0] == "attempt"


def test_a_customer_that_has_not_its_tokens_back_is_not_dropped() -> None:
    host = limited_host(SLOW_PLAN)
    for number in range(CROWDED_COUNT):
        serve(host, f"c{number}")
    host.run(500.0)
    assert known_count(host) == CROWDED_COUNT
    host.run(1000.0)
    assert known_count(host) == 0
