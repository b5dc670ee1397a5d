"""Customers' quotas: rejections, the state of unused customers, and new nodes in large sets."""

from __future__ import annotations

from onyxpost.core.types import AttemptResult, Plan
from tests.policy.gateway_host import Host, kinds

PLAN = Plan("p", 2.0, 12.0, 0, 1.0, 0.0, 0.0)


def test_an_empty_bucket_rejects_and_names_the_time_until_it_holds_the_units() -> None:
    host = Host(plan=PLAN, max_retry_after_ms=60000.0)
    assert kinds(host.arrive(4)) == ["attempt"]
    ((_, _, retry_after),) = host.arrive(4)
    assert retry_after == 2000.0


def test_unused_customers_are_forgotten_also_without_peers() -> None:
    for peers in (True, False):
        host = Host(servers=20, may_send_peer_messages=peers)
        for index in range(10):
            sent = host.arrive(customer=f"once{index}")
            host.end(sent[0][1], AttemptResult.OK)
        host.run(70000.0)
        assert host.gateway.state.customers.by_key == {}


def test_a_customer_is_kept_until_its_bucket_is_full_again() -> None:
    host = Host(plan=Plan("p", 1.0, 90.0, 0, 1.0, 0.0, 0.0), may_send_peer_messages=False)
    host.run(90000.0)
    host.end(host.arrive(50)[0][1], AttemptResult.OK)
    host.run(40000.0)
    assert len(host.gateway.state.customers.by_key) == 1
    host.run(20000.0)
    assert host.gateway.state.customers.by_key == {}


def test_a_customer_is_kept_until_its_hard_limit_is_full_again() -> None:
    host = Host(plan=Plan("p", 100.0, 300.0, 0, 1.0, 0.3, 60.0))
    host.run(100000.0)
    assert kinds(host.arrive(8)) == ["attempt"]
    host.end("r1", AttemptResult.OK)
    host.run(70000.0)
    assert kinds(host.arrive(12)) == ["reject"]


def test_a_new_node_in_a_large_set_serves_a_customer_at_once() -> None:
    host = Host(plan=Plan("p", 1.0, 16.0, 0, 1.0, 0.0, 0.0), node_count=40, node_index=1)
    assert kinds(host.arrive(8, set_size=30)) == ["attempt"]
