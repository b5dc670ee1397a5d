"""The checker reports a server in slow start that is overloaded, by its work or by its number of calls."""

from __future__ import annotations

from onyxpost.core.types import EndpointState
from onyxpost.simulation.invariants import Invariant
from tests.simulation.invariants.checker_host import CheckerHost


def host_with_calls(calls: int, informed_nodes: int, at_ms: float = 500.0) -> CheckerHost:
    """Returns a host with calls to a server in slow start, in turn from n1, n2 and n3.

    The first `informed_nodes` of these nodes know that the server has started. The limit in the window of 1 s
    is 0.2 (initial fraction) * 0.1 (capacity) * 4 (overload multiple) * 1000 ms = 80 ms of work, which are
    4 calls of 20 ms.
    """
    host = CheckerHost()
    host.checker.on_server_started(0.0, "s1", 0.1, 20.0)
    for node in range(1, 1 + informed_nodes):
        host.checker.on_endpoint_notified(100.0, f"n{node}", "s1", EndpointState.READY)
    for index in range(calls):
        host.checker.on_call_received(at_ms, "s1", f"n{1 + index % 3}", f"r{index}")
    return host


def test_work_of_all_nodes_together_overloads_a_server(host: CheckerHost) -> None:
    host.checker.on_server_started(0.0, "s1", 2.0)
    # Limit: 0.2 (initial fraction) * 2.0 (capacity) * 4 (overload multiple) * 1000 ms = 1600 ms of work.
    assert host.checker.on_work_received(100.0, "s1", 1600.0, "n0", "r0") is True
    assert host.checker.slow_start_load("s1") == 1.0
    assert host.checker.on_work_received(900.0, "s1", 1.0, "n1", "r") is False
    host.assert_only(Invariant.SLOW_START_WORK, 900.0)
    assert host.checker.on_work_received(10_000.0, "s1", 9e9) is True  # the server is warm after 10 s


def test_more_calls_than_the_limit_and_random_variation_are_violation() -> None:
    host = host_with_calls(10, informed_nodes=3)  # the number tolerated: 4 + 2 * sqrt(4) + 2
    host.assert_no_violation()
    host.checker.on_call_received(500.0, "s1", "n1", "r")
    assert host.checker.violations[0].description == (
        "11 calls where 4.0 are allowed; 11 from nodes that know its start"
    )
    host.assert_only(Invariant.SLOW_START_CALLS, 500.0)


def test_call_after_the_window_does_not_add_to_it() -> None:
    host = host_with_calls(10, informed_nodes=3)
    host.checker.on_call_received(1500.0, "s1", "n1", "r")
    host.assert_no_violation()


def test_calls_to_a_warm_server_are_not_counted() -> None:
    host_with_calls(30, informed_nodes=3, at_ms=10_000.0).assert_no_violation()


def test_exactly_two_thirds_of_calls_from_informed_nodes_are_tolerated() -> None:
    host = host_with_calls(0, informed_nodes=2)
    for node in ("n3",) * 4 + ("n1", "n2") * 4:
        host.checker.on_call_received(500.0, "s1", node, "r")
    host.assert_no_violation()
    host.checker.on_call_received(500.0, "s1", "n1", "r")  # 9 of 13 calls are now from informed nodes
    host.assert_only(Invariant.SLOW_START_CALLS, 500.0)


def test_start_that_counts_as_known_makes_calls_informed() -> None:
    host = host_with_calls(0, informed_nodes=0)
    host.checker.on_discovery_updated(0.0, "n1", "s1", EndpointState.READY, 499.0)
    for _ in range(11):
        host.checker.on_call_received(498.0, "s1", "n1", "r")
    host.assert_no_violation()
    host.checker.on_call_received(499.0, "s1", "n1", "r")
    host.assert_no_violation()  # only 1 of 12 calls came after the start counted as known
    for _ in range(23):
        host.checker.on_call_received(500.0, "s1", "n1", "r")
    host.assert_only(Invariant.SLOW_START_CALLS, 500.0)
