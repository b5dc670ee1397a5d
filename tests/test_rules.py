"""Each of the rules: a breach that is put there is reported with its req, node, server and time."""

import unittest

from onyxpost.core.types import (
    DeduplicationScope,
    EndpointState,
    Frontend,
    Idempotency,
    Plan,
    SlowStartPolicy,
)
from onyxpost.simulation.invariants import (
    ANSWERS,
    CEILINGS,
    COLD,
    COLD_SUM,
    DRAINS,
    EFFECTS,
    GONE,
    GONE_FIRSTS,
    TOLD,
    InvariantChecker,
    Violation,
)


def frontend(effect: Idempotency, group: DeduplicationScope = DeduplicationScope.ALL) -> Frontend:
    return Frontend("f", 500.0, 2000.0, effect, group, 1000.0, 1.0, 0.0, 0.0, False)


class Checking(unittest.TestCase):
    def setUp(self) -> None:
        plans = [Plan("p", 1.0, 4.0, 0, 1.0, 2.0, 10.0)]
        self.checker = InvariantChecker(
            grace=250.0, cold=SlowStartPolicy(0.2, 10_000.0, 4.0, 1000.0), plans=plans, largest=2
        )

    def take(
        self,
        req: str = "r",
        effect: Idempotency = Idempotency.IDEMPOTENT,
        group: DeduplicationScope = DeduplicationScope.ALL,
    ) -> None:
        self.checker.on_request_received(0.0, "n1", req, frontend(effect, group), "c", 2, 2000.0)

    def send(self, at: float, server: str = "s1", req: str = "r", zone: str = "h", plan: str = "") -> None:
        self.checker.on_attempt_sent(at, "n1", req, server, zone, 0, plan)

    def only(self, rule: str, at: float, req: str = "r", server: str = "s1") -> None:
        (one,) = self.checker.violations
        self.assertEqual((one.rule, one.at, one.node, one.req, one.server), (rule, at, "n1", req, server))


class Checked(Checking):
    def test_a_good_day_breaks_nothing(self) -> None:
        self.take(effect=Idempotency.IDEMPOTENCY_KEY)
        self.send(10.0)
        self.send(900.0, "s2")
        self.checker.on_final_answer(950.0, "n1", "r", "passed")
        self.checker.check_deadlines(9000.0)
        self.assertEqual(self.checker.violations, [])

    def test_no_answer_a_late_one_and_a_second_one(self) -> None:
        self.take()
        self.checker.check_deadlines(2001.0)
        self.only(ANSWERS, 2001.0, server="")
        self.checker.violations.clear()
        self.take("late")
        self.checker.on_final_answer(2500.0, "n1", "late", "aborted")
        self.only(ANSWERS, 2500.0, "late", "")
        self.checker.violations.clear()
        self.take("twice")
        self.checker.on_final_answer(100.0, "n1", "twice", "passed")
        self.checker.on_final_answer(101.0, "n1", "twice", "denied")
        self.only(ANSWERS, 101.0, "twice", "")

    def test_something_sent_after_the_final_answer(self) -> None:
        self.take()
        self.checker.on_final_answer(100.0, "n1", "r", "denied")
        self.send(101.0)
        self.only(ANSWERS, 101.0)

    def test_a_node_that_died_owes_nothing(self) -> None:
        self.take()
        self.checker.on_node_killed(50.0, "n1")
        self.checker.check_deadlines(9000.0)
        self.assertEqual(self.checker.violations, [])

    def test_a_non_replayable_req_sent_twice_or_denied_once_it_may_have_run(self) -> None:
        self.take(effect=Idempotency.NON_IDEMPOTENT)
        self.send(10.0)
        self.send(20.0, "s2")
        self.only(EFFECTS, 20.0, server="s2")
        self.checker.violations.clear()
        self.checker.on_final_answer(30.0, "n1", "r", "denied")
        self.only(EFFECTS, 30.0)

    def test_one_that_is_known_not_to_have_run_may_go_elsewhere(self) -> None:
        self.take(effect=Idempotency.NON_IDEMPOTENT)
        self.send(10.0)
        self.checker.on_attempt_ended(15.0, "n1", "r", 0, never_ran=True)
        self.send(20.0, "s2")
        self.assertEqual(self.checker.violations, [])

    def test_a_keyed_req_resent_outside_its_group_or_window_or_denied(self) -> None:
        self.take(effect=Idempotency.IDEMPOTENCY_KEY, group=DeduplicationScope.ZONE)
        self.send(10.0)
        self.send(20.0, "s2", zone="elsewhere")
        self.only(EFFECTS, 20.0, server="s2")
        self.checker.violations.clear()
        self.send(1500.0)
        self.only(EFFECTS, 1500.0)
        self.checker.violations.clear()
        self.checker.on_final_answer(1600.0, "n1", "r", "denied")
        self.only(EFFECTS, 1600.0)

    def test_something_sent_to_a_draining_server_past_the_grace(self) -> None:
        self.take()
        self.checker.on_endpoint_notified(100.0, "n1", "s1", EndpointState.DRAINING)
        self.send(350.0)
        self.assertEqual(self.checker.violations, [])
        self.send(351.0)
        self.only(DRAINS, 351.0)

    def test_a_cold_server_pushed_over_by_all_nodes_together(self) -> None:
        self.checker.on_server_started(0.0, "s1", 2.0)
        # A fifth of 2 ms of work a ms, four times, for a second: 1600 ms of it.
        self.assertTrue(self.checker.on_work_received(100.0, "s1", 1600.0, "n0", "r0"))
        self.assertEqual(self.checker.slow_start_load("s1"), 1.0)
        self.assertFalse(self.checker.on_work_received(900.0, "s1", 1.0, "n1", "r"))
        self.only(COLD, 900.0)
        self.assertTrue(self.checker.on_work_received(10_000.0, "s1", 9e9))  # it is warm

    def test_a_ceiling_passed_by_two_nodes_that_each_kept_it(self) -> None:
        for number in range(7):
            node = f"n{number % 2}"
            self.checker.on_request_received(
                0.0, node, f"r{number}", frontend(Idempotency.IDEMPOTENT), "c", 2, 2000.0
            )
            self.checker.on_attempt_sent(10.0, node, f"r{number}", "s1", plan="p")
        self.assertEqual(
            self.checker.violations,
            [Violation(CEILINGS, 10.0, "n0", "r6", "s1", "customer c is 4.0 units past its ceiling")],
        )


class Gone(Checking):
    """Sent on for a client that closed or cancelled. The slack of the checker comes to each limit."""

    SLACK = 50.0

    def setUp(self) -> None:
        super().setUp()
        self.checker = InvariantChecker(grace=250.0, cold=self.checker.cold_rule, plans=[], slack=self.SLACK)

    def leave(self, count: int, sent_before: bool = False) -> None:
        for number in range(count):
            self.take(f"r{number}")
            if sent_before:
                self.send(10.0, req=f"r{number}")
            self.checker.on_client_disconnected(100.0, "n1", f"r{number}")

    def test_attempts_begun_over_a_tenth_of_a_second_later_break_it_from_the_third_on(self) -> None:
        for sent_before in (False, True):  # first ones, and further ones
            self.setUp()
            self.leave(9, sent_before)
            for number in range(6):
                self.send(250.0, "s2", f"r{number}")  # 150 ms: just inside
            self.send(250.1, "s2", "r6")
            self.send(250.1, "s2", "r7")
            self.checker.finish(9000.0)
            self.assertEqual(self.checker.violations, [])
            self.send(251.0, "s2", "r8")
            self.only(GONE, 251.0, "r8", "s2")

    def test_one_whose_first_byte_left_in_time_is_not_counted(self) -> None:
        self.leave(3)
        for number in range(3):
            self.checker.on_attempt_sent(400.0, "n1", f"r{number}", "s1", began=240.0)
        self.assertEqual(self.checker.violations, [])

    def test_a_node_that_died_or_was_held_up_has_no_client_that_is_gone(self) -> None:
        self.leave(0)
        for number in range(4):
            self.take(f"r{number}")
        self.checker.excuse_answer("n1", "r0")
        self.checker.on_node_killed(50.0, "n1")
        for number in range(4):
            self.send(1500.0, req=f"r{number}")
        self.checker.finish(9000.0)
        self.assertEqual(self.checker.violations, [])

    def firsts(self, waiting: int, late: int, at: float) -> list[str]:
        self.setUp()
        self.leave(waiting)
        for number in range(late):
            self.send(at, req=f"r{number}")
        self.checker.violations.clear()  # of the rule on single attempts
        self.checker.finish(9000.0)
        return [breach.rule for breach in self.checker.violations]

    def test_over_a_quarter_of_those_that_waited_sent_on_far_too_late(self) -> None:
        self.assertEqual(self.firsts(20, 5, 451.0), [])  # a quarter
        self.assertEqual(self.firsts(4, 4, 451.0), [])  # fewer than five
        self.assertEqual(self.firsts(19, 5, 450.0), [])  # not late enough
        self.assertEqual(self.firsts(19, 5, 451.0), [GONE_FIRSTS])
        self.only(GONE_FIRSTS, 451.0, "r4")
        self.assertEqual(self.checker.violations[0].what[:22], "5 of 19 that waited; t")


class ToldWithinSixSeconds(Checking):
    def test_a_drain_counts_as_told_six_seconds_after_discovery_had_it(self) -> None:
        self.take()
        self.checker.on_discovery_updated(1000.0, "n1", "s1", EndpointState.DRAINING)
        self.send(7250.0)  # the grace of 250 ms from then on
        self.checker.on_attempt_sent(9000.0, "n2", "other", "s1")  # another node, with another discovery
        self.checker.violations.clear()
        self.send(7250.1)
        self.only(TOLD, 7250.1)

    def test_what_was_heard_sooner_counts_from_then_on_and_what_is_heard_later_changes_nothing(self) -> None:
        self.take()
        self.checker.on_discovery_updated(1000.0, "n1", "s1", EndpointState.DRAINING)
        self.checker.on_endpoint_notified(2000.0, "n1", "s1", EndpointState.DRAINING)
        self.send(2251.0)
        self.only(DRAINS, 2251.0)
        self.checker.violations.clear()
        self.checker.on_discovery_updated(1000.0, "n1", "s2", EndpointState.DRAINING)
        self.checker.on_endpoint_notified(8000.0, "n1", "s2", EndpointState.DRAINING)
        self.send(7251.0, "s2")
        self.only(TOLD, 7251.0, server="s2")

    def test_an_old_list_that_still_calls_it_up_puts_nothing_off(self) -> None:
        self.take()
        self.checker.on_discovery_updated(0.0, "n1", "s1", EndpointState.DRAINING)
        self.checker.on_endpoint_notified(100.0, "n1", "s1", EndpointState.READY)
        self.send(6251.0)
        self.only(TOLD, 6251.0)

    def test_a_move_and_a_new_process_count_anew(self) -> None:
        self.take()
        self.checker.on_discovery_updated(0.0, "n1", "s1", EndpointState.GONE)
        self.checker.on_discovery_replaced("n1")
        self.checker.on_discovery_updated(5000.0, "n1", "s1", EndpointState.GONE, 4000.0)
        self.send(9250.0)
        self.assertEqual(self.checker.violations, [])
        self.send(9251.0)
        self.only(TOLD, 9251.0)
        self.checker.violations.clear()
        self.checker.on_node_killed(9300.0, "n1")
        self.take("new")
        self.send(9900.0, req="new")
        self.assertEqual(self.checker.violations, [])


class ColdSum(Checking):
    def play(self, calls: int, told: int, at: float = 500.0) -> None:
        """A fifth of 0.1 ms of work a ms, four times, for a second: 80 ms of it, 4 calls of 20 ms."""
        self.setUp()
        self.checker.on_server_started(0.0, "s1", 0.1, 20.0)
        for node in range(1, 1 + told):
            self.checker.on_endpoint_notified(100.0, f"n{node}", "s1", EndpointState.READY)
        for number in range(calls):
            self.checker.on_call_received(at, "s1", f"n{1 + number % 3}", f"r{number}")

    def test_more_than_is_allowed_and_what_chance_adds_from_all_nodes_together(self) -> None:
        self.play(10, 3)  # 4 and twice its root and 2
        self.assertEqual(self.checker.violations, [])
        self.checker.on_call_received(500.0, "s1", "n1", "r")
        self.only(COLD_SUM, 500.0)
        self.assertEqual(
            self.checker.violations[0].what, "11 calls where 4.0 are allowed; 11 from nodes told of its start"
        )

    def test_calls_of_the_window_alone_and_only_while_it_is_cold(self) -> None:
        self.play(10, 3)
        self.checker.on_call_received(1500.0, "s1", "n1", "r")
        self.play(30, 3, 10_000.0)
        self.assertEqual(self.checker.violations, [])

    def test_two_thirds_from_nodes_told_of_its_start_are_not_over_two_thirds(self) -> None:
        self.play(0, 2)
        for node in ("n3",) * 4 + ("n1", "n2") * 4:
            self.checker.on_call_received(500.0, "s1", node, "r")
        self.assertEqual(self.checker.violations, [])
        self.checker.on_call_received(500.0, "s1", "n1", "r")  # 9 of 13
        self.only(COLD_SUM, 500.0)

    def test_a_start_that_counts_as_told_is_told(self) -> None:
        self.play(0, 0)
        self.checker.on_discovery_updated(0.0, "n1", "s1", EndpointState.READY, 499.0)
        for _ in range(11):
            self.checker.on_call_received(498.0, "s1", "n1", "r")
        self.assertEqual(self.checker.violations, [])
        self.checker.on_call_received(499.0, "s1", "n1", "r")
        self.assertEqual(self.checker.violations, [])  # told for 1 of 12 alone
        for _ in range(23):
            self.checker.on_call_received(500.0, "s1", "n1", "r")
        self.only(COLD_SUM, 500.0)
