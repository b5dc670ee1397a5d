"""The checker reports missing, late and second answers, and attempts after the final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import Idempotency
from onyxpost.simulation.invariants import Invariant, Violation

if TYPE_CHECKING:
    from tests.simulation.invariants.checker_host import CheckerHost


def test_retry_and_answer_in_time_violate_nothing(host: CheckerHost) -> None:
    host.receive(idempotency=Idempotency.IDEMPOTENCY_KEY)
    host.send(10.0)
    host.send(900.0, "s2")
    host.checker.on_final_answer(950.0, "n1", "r", "passed")
    host.checker.check_deadlines(9000.0)
    host.assert_no_violation()


def test_missing_late_and_second_answer_are_violations(host: CheckerHost) -> None:
    host.receive()
    host.checker.check_deadlines(2001.0)
    host.assert_only(Invariant.ANSWERS, 2001.0, server="")
    host.receive("late")
    host.checker.on_final_answer(2500.0, "n1", "late", "aborted")
    host.assert_only(Invariant.ANSWERS, 2500.0, "late", "")
    host.receive("twice")
    host.checker.on_final_answer(100.0, "n1", "twice", "passed")
    host.checker.on_final_answer(101.0, "n1", "twice", "denied")
    host.assert_only(Invariant.ANSWERS, 101.0, "twice", "")


def test_attempt_after_final_answer_is_violation(host: CheckerHost) -> None:
    host.receive()
    host.checker.on_final_answer(100.0, "n1", "r", "denied")
    host.send(101.0)
    host.assert_only(Invariant.ANSWERS, 101.0)


def test_request_of_a_killed_node_needs_no_answer(host: CheckerHost) -> None:
    host.receive()
    host.checker.on_node_killed(50.0, "n1")
    host.checker.check_deadlines(9000.0)
    host.assert_no_violation()


def test_violation_record_has_the_keys_of_result_files() -> None:
    violation = Violation(Invariant.DRAIN_NOTIFIED, 12.5, "n0", "r1", "s-1", "sent too late")
    assert violation.to_record() == {
        "rule": "drains",
        "at": 12.5,
        "node": "n0",
        "req": "r1",
        "server": "s-1",
        "what": "sent too late",
    }


def test_invariants_keep_the_values_of_result_files() -> None:
    assert [invariant.value for invariant in Invariant] == [
        "answers",
        "effects",
        "drains",
        "told",
        "cold",
        "cold sum",
        "ceilings",
        "gone",
        "gone firsts",
    ]
