"""Each of the five rules: a breach that is put there is reported with its req, node, server and time."""

import unittest

from onyxpost.interface import ColdRule, Effect, Frontend, Group, Plan, Standing
from onyxpost.lab.rules import ANSWERS, CEILINGS, COLD, DRAINS, EFFECTS, Breach, Rules


def frontend(effect: Effect, group: Group = Group.ALL) -> Frontend:
    return Frontend("f", 500.0, 2000.0, effect, group, 1000.0, 1.0, 0.0, 0.0, False)


class Checked(unittest.TestCase):
    def setUp(self) -> None:
        plans = [Plan("p", 1.0, 4.0, 0, 1.0, 2.0, 10.0)]
        self.rules = Rules(grace=250.0, cold=ColdRule(0.2, 10_000.0, 4.0, 1000.0), plans=plans, largest=2)

    def take(self, req: str = "r", effect: Effect = Effect.REPLAYABLE, group: Group = Group.ALL) -> None:
        self.rules.taken(0.0, "n1", req, frontend(effect, group), "c", 2, 2000.0)

    def send(self, at: float, server: str = "s1", req: str = "r", zone: str = "h", plan: str = "") -> None:
        self.rules.sent(at, "n1", req, server, zone, 0, plan)

    def only(self, rule: str, at: float, req: str = "r", server: str = "s1") -> None:
        (one,) = self.rules.breaches
        self.assertEqual((one.rule, one.at, one.node, one.req, one.server), (rule, at, "n1", req, server))

    def test_a_good_day_breaks_nothing(self) -> None:
        self.take(effect=Effect.KEYED)
        self.send(10.0)
        self.send(900.0, "s2")
        self.rules.answered(950.0, "n1", "r", "passed")
        self.rules.check(9000.0)
        self.assertEqual(self.rules.breaches, [])

    def test_no_answer_a_late_one_and_a_second_one(self) -> None:
        self.take()
        self.rules.check(2001.0)
        self.only(ANSWERS, 2001.0, server="")
        self.rules.breaches.clear()
        self.take("late")
        self.rules.answered(2500.0, "n1", "late", "aborted")
        self.only(ANSWERS, 2500.0, "late", "")
        self.rules.breaches.clear()
        self.take("twice")
        self.rules.answered(100.0, "n1", "twice", "passed")
        self.rules.answered(101.0, "n1", "twice", "denied")
        self.only(ANSWERS, 101.0, "twice", "")

    def test_something_sent_after_the_final_answer(self) -> None:
        self.take()
        self.rules.answered(100.0, "n1", "r", "denied")
        self.send(101.0)
        self.only(ANSWERS, 101.0)

    def test_a_node_that_died_owes_nothing(self) -> None:
        self.take()
        self.rules.node_died(50.0, "n1")
        self.rules.check(9000.0)
        self.assertEqual(self.rules.breaches, [])

    def test_a_non_replayable_req_sent_twice_or_denied_once_it_may_have_run(self) -> None:
        self.take(effect=Effect.NON_REPLAYABLE)
        self.send(10.0)
        self.send(20.0, "s2")
        self.only(EFFECTS, 20.0, server="s2")
        self.rules.breaches.clear()
        self.rules.answered(30.0, "n1", "r", "denied")
        self.only(EFFECTS, 30.0)

    def test_one_that_is_known_not_to_have_run_may_go_elsewhere(self) -> None:
        self.take(effect=Effect.NON_REPLAYABLE)
        self.send(10.0)
        self.rules.ended(15.0, "n1", "r", 0, never_ran=True)
        self.send(20.0, "s2")
        self.assertEqual(self.rules.breaches, [])

    def test_a_keyed_req_resent_outside_its_group_or_window_or_denied(self) -> None:
        self.take(effect=Effect.KEYED, group=Group.ZONE)
        self.send(10.0)
        self.send(20.0, "s2", zone="elsewhere")
        self.only(EFFECTS, 20.0, server="s2")
        self.rules.breaches.clear()
        self.send(1500.0)
        self.only(EFFECTS, 1500.0)
        self.rules.breaches.clear()
        self.rules.answered(1600.0, "n1", "r", "denied")
        self.only(EFFECTS, 1600.0)

    def test_something_sent_to_a_draining_server_past_the_grace(self) -> None:
        self.take()
        self.rules.list_told(100.0, "n1", "s1", Standing.DRAINING)
        self.send(350.0)
        self.assertEqual(self.rules.breaches, [])
        self.send(351.0)
        self.only(DRAINS, 351.0)

    def test_a_cold_server_pushed_over_by_all_nodes_together(self) -> None:
        self.rules.server_started(0.0, "s1", 2.0)
        # A fifth of 2 ms of work a ms, four times, for a second: 1600 ms of it.
        self.assertTrue(self.rules.work_came(100.0, "s1", 1600.0, "n0", "r0"))
        self.assertEqual(self.rules.cold_load("s1"), 1.0)
        self.assertFalse(self.rules.work_came(900.0, "s1", 1.0, "n1", "r"))
        self.only(COLD, 900.0)
        self.assertTrue(self.rules.work_came(10_000.0, "s1", 9e9))  # it is warm

    def test_a_ceiling_passed_by_two_nodes_that_each_kept_it(self) -> None:
        for number in range(7):
            node = f"n{number % 2}"
            self.rules.taken(0.0, node, f"r{number}", frontend(Effect.REPLAYABLE), "c", 2, 2000.0)
            self.rules.sent(10.0, node, f"r{number}", "s1", plan="p")
        self.assertEqual(self.rules.breaches, [
            Breach(CEILINGS, 10.0, "n0", "r6", "s1", "customer c is 4.0 units past its ceiling")
        ])  # fmt: skip
