"""The checker reports too many late attempts for clients that closed their connections or cancelled.

The tolerance of the checker is added to each time limit.
"""

from __future__ import annotations

import pytest

from onyxpost.simulation.invariants import Invariant
from tests.simulation.invariants.checker_host import CheckerHost

TOLERANCE_MS = 50.0


def host_with_disconnected_clients(count: int, *, sent_before: bool = False) -> CheckerHost:
    """Returns a host with requests r0, r1 and so on, whose clients disconnected at 100 ms."""
    host = CheckerHost(TOLERANCE_MS)
    for index in range(count):
        host.receive(f"r{index}")
        if sent_before:
            host.send(10.0, request_id=f"r{index}")
        host.checker.on_client_disconnected(100.0, "n1", f"r{index}")
    return host


@pytest.mark.parametrize("sent_before", [False, True], ids=["first attempts", "retries"])
def test_third_attempt_over_100_ms_after_the_disconnect_is_violation(*, sent_before: bool) -> None:
    host = host_with_disconnected_clients(9, sent_before=sent_before)
    for index in range(6):
        host.send(250.0, "s2", f"r{index}")  # 150 ms after the disconnect, exactly at the limit
    host.send(250.1, "s2", "r6")
    host.send(250.1, "s2", "r7")
    host.checker.finish(9000.0)
    host.assert_no_violation()
    host.send(251.0, "s2", "r8")
    host.assert_only(Invariant.DISCONNECTED_CLIENTS, 251.0, "r8", "s2")


def test_attempt_whose_first_byte_left_in_time_is_not_counted() -> None:
    host = host_with_disconnected_clients(3)
    for index in range(3):
        host.send(400.0, request_id=f"r{index}", first_byte_at_ms=240.0)
    host.assert_no_violation()


def test_excused_answer_and_killed_node_have_no_disconnected_client() -> None:
    host = host_with_disconnected_clients(0)
    for index in range(4):
        host.receive(f"r{index}")
    host.checker.excuse_answer("n1", "r0")
    host.checker.on_node_killed(50.0, "n1")
    for index in range(4):
        host.send(1500.0, request_id=f"r{index}")
    host.checker.finish(9000.0)
    host.assert_no_violation()


def host_with_first_attempts(waiting: int, late: int, at_ms: float) -> CheckerHost:
    """Returns a host whose clients disconnected from `waiting` unsent requests; sends `late` at `at_ms`."""
    host = host_with_disconnected_clients(waiting)
    for index in range(late):
        host.send(at_ms, request_id=f"r{index}")
    host.checker.violations.clear()  # violations by single late attempts, which are not tested here
    host.checker.finish(9000.0)
    return host


@pytest.mark.parametrize(
    ("waiting", "late", "at_ms"),
    [
        pytest.param(20, 5, 451.0, id="a quarter"),
        pytest.param(4, 4, 451.0, id="fewer than five"),
        pytest.param(19, 5, 450.0, id="not late enough"),
    ],
)
def test_few_late_first_attempts_are_tolerated(waiting: int, late: int, at_ms: float) -> None:
    host_with_first_attempts(waiting, late, at_ms).assert_no_violation()


def test_over_a_quarter_of_waiting_requests_sent_over_300_ms_late_is_violation() -> None:
    host = host_with_first_attempts(19, 5, 451.0)
    assert host.checker.violations[0].description.startswith("5 of 19 that waited; t")
    host.assert_only(Invariant.DISCONNECTED_FIRST_ATTEMPTS, 451.0, "r4")
