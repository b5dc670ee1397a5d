"""Selection of the server for each attempt."""

from __future__ import annotations

from unittest import mock

from onyxpost.core.events import EndpointsStale
from onyxpost.core.sliding_window import SlidingWindowCounter
from onyxpost.core.types import AttemptResult, EndpointState
from tests.policy.gateway_host import Host, kinds


def test_while_endpoints_are_stale_only_a_server_with_a_recent_success_gets_requests() -> None:
    host = Host(servers=3, drain_grace_ms=250.0)
    ((_, request_id, server, _),) = host.arrive()
    host.now += 60.0
    host.end(request_id, AttemptResult.OK, 60.0)
    host.handle(EndpointsStale())
    # Less than half of the drain grace period has passed since the successful attempt was sent.
    ((_, second_request_id, second_server, _),) = host.arrive()
    assert second_server == server
    assert kinds(host.end(second_request_id, AttemptResult.ERROR)) == ["reject"]  # no other may be used
    host.now += 65.0
    assert kinds(host.arrive()) == ["reject"]
    host.update_endpoints(complete=False)
    assert kinds(host.arrive()) == ["attempt"]


def test_where_endpoints_are_polled_a_success_counts_as_recent_for_longer() -> None:
    """Polls may report a drain late, so a node that polls must use servers for longer than the drain grace.

    Otherwise a node whose polls are refused by an overloaded discovery would reject nearly all requests.
    """
    host = Host(servers=1, drain_grace_ms=250.0, polls_endpoints=True)
    ((_, request_id, _, _),) = host.arrive()
    host.now += 60.0
    host.end(request_id, AttemptResult.OK, 60.0)
    host.handle(EndpointsStale())
    for elapsed_ms, expected in ((5124.0, "attempt"), (5125.0, "reject")):
        host.now = 1_000_000.0 + elapsed_ms
        assert kinds(host.arrive()) == [expected]


def test_an_expired_attempt_is_not_a_recent_success() -> None:
    host = Host(servers=1, drain_grace_ms=250.0)
    for result, latency_ms in ((AttemptResult.OK, 60.0), (AttemptResult.EXPIRED, 65.0)):
        ((_, request_id, _, _),) = host.arrive()
        host.now += latency_ms
        host.end(request_id, result, latency_ms)
    host.handle(EndpointsStale())
    assert kinds(host.arrive()) == ["reject"]


def test_a_draining_server_gets_no_new_request() -> None:
    host = Host(servers=2)
    ((_, _, server, _),) = host.arrive()
    host.update_endpoints(host.endpoint(int(server[1:]), EndpointState.DRAINING), complete=False)
    assert host.arrive()[0][2] != server
    host.update_endpoints(complete=True)
    assert kinds(host.arrive()) == ["reject"]


def test_a_slow_server_is_recognized_by_the_age_of_its_attempts() -> None:
    host = Host()
    ((_, _, slow, _),) = host.arrive()
    for _ in range(10):
        host.run(50.0)
        sent = host.arrive(customer="other")
        if sent[0][2] != slow:
            host.end(sent[0][1], AttemptResult.OK, 50.0)
    assert host.arrive()[0][2] != slow


def test_removed_servers_are_forgotten() -> None:
    host = Host(servers=4)
    host.update_endpoints(host.endpoint(0, EndpointState.GONE), complete=False)
    assert len(host.gateway.state.servers.known) == 3
    host.update_endpoints(host.endpoint(1))
    assert list(host.gateway.state.servers.known) == ["s1"]


def test_a_request_does_not_read_the_statistics_of_all_servers() -> None:
    host = Host(servers=40)
    host.run(200.0)
    with mock.patch.object(SlidingWindowCounter, "totals", side_effect=AssertionError):
        assert kinds(host.arrive()) == ["attempt"]


def test_a_tick_costs_no_more_with_many_idle_servers() -> None:
    calls = []
    for servers in (4, 80):
        host = Host(servers=servers)
        host.end(host.arrive()[0][1], AttemptResult.OK)
        with mock.patch.object(SlidingWindowCounter, "advance") as advance:
            host.run(1000.0)
        calls.append(advance.call_count)
    assert calls[1] <= calls[0] + 1


def test_a_request_rejected_for_lack_of_capacity_may_return_within_its_objective() -> None:
    host = Host(servers=1, max_retry_after_ms=2000.0)
    denied = [d for _ in range(40) for d in host.arrive() if d[0] == "reject"]
    assert denied[-1][2] < 100.0  # a tenth of the latency objective
