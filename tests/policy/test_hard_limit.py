"""Requests that are queued until their customer's hard limit has tokens."""

from __future__ import annotations

from onyxpost.core.customer_name import key_of_name
from onyxpost.core.events import RequestCancelled
from onyxpost.core.types import Plan
from tests.policy.gateway_host import Host, kinds


def test_a_new_incarnation_does_not_start_with_a_full_hard_limit() -> None:
    host = Host(plan=Plan("p", 100.0, 300.0, 0, 1.0, 3.0, 30.0))
    assert kinds(host.arrive(4)) == ["reject"]
    host.run(5000.0)
    assert kinds(host.arrive(4)) == ["attempt"]


def test_a_request_waits_for_the_hard_limit_while_it_can_be_answered_in_time() -> None:
    plan = Plan("p", 100.0, 300.0, 0, 1.0, 9.0, 90.0)  # one of three nodes: 3 units a second, starting at 0
    host = Host(plan=plan)
    assert [kinds(host.arrive(1)), kinds(host.arrive(1))] == [[], []]
    assert kinds(host.arrive(1)) == ["reject"]  # tokens come after 1 s, too late for the latency objective
    assert [d[1] for d in host.run(350.0) if d[0] == "attempt"] == ["r1"]
    assert [d[1] for d in host.run(350.0) if d[0] == "attempt"] == ["r2"]
    assert len(host.gateway.quota_control.queue) == 0


def test_a_request_that_waits_gets_exactly_one_answer() -> None:
    host = Host(plan=Plan("p", 100.0, 300.0, 0, 1.0, 9.0, 90.0))
    host.arrive(1)
    host.arrive(1)
    assert kinds(host.handle(RequestCancelled("r1"))) == []
    host.gateway.state.customers.by_key[key_of_name("c")].quota.tokens = -500.0  # spent at other nodes
    assert [d[:2] for d in host.run(900.0) if d[0] != "message"] == [("reject", "r2")]
    assert (host.gateway.state.requests, len(host.gateway.quota_control.queue)) == ({}, 0)


def test_a_request_that_waits_in_vain_is_rejected_soon_after_half_of_its_time() -> None:
    host = Host(plan=Plan("p", 100.0, 300.0, 0, 1.0, 9.0, 90.0))
    host.arrive(1, client_timeout_ms=900.0)
    host.gateway.state.customers.by_key[key_of_name("c")].hard_limit.tokens = -50.0  # transferred to a peer
    assert kinds(host.run(425.0)) == []
    assert kinds(host.run(100.0)) == ["reject"]
