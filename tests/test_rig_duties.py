"""Duties held by real processes: the rules hold under faults, and bugs put in are found."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
from typing import Any

import pytest

from onyxpost.leadership.service_log import (
    ACCEPTOR_VOTING,
    LEASE_ACQUIRED,
    LEASE_LOST,
    RECORD_COMMITTED,
)
from onyxpost.simulation.multiprocess import fault_script, leadership_invariants, scenario
from onyxpost.simulation.multiprocess.checker import check
from onyxpost.simulation.multiprocess.fault_script import Fault
from onyxpost.simulation.multiprocess.leadership_eras import Eras
from onyxpost.simulation.multiprocess.leadership_failover import handed

pytestmark = pytest.mark.xdist_group("quiet")  # many processes: not beside what measures time

LATE = Fault(2.0, "late-act", "h0", 1.3)
LONG = 'about = "a lease longer than a restart"\nstage = "duties"\nlease_s = 4.0\nduties = 3\n'
FORGOT = [Fault(6.0, "alone", "h0", 3.4), Fault(6.1, "voters-killed", "h0", 0.05)]  # but for the holder
WHOLE = [LATE, Fault(4.6, "kill", "h1", 0.1), Fault(6.6, "alone", "h2", 1.4)]
PLAYS = {
    "": ("duties-stalls", 9.0, WHOLE),
    "careless": ("duties-stalls", 5.0, [LATE]),
    "overstays": ("duties-stalls", 4.5, [Fault(2.0, "alone", "h0", 1.8)]),
    "forgets": ("long", 9.5, FORGOT),
    "begins-anew": ("duties-stalls", 3.5, [Fault(2.5, "term", "h0", 0.1)]),
}


class Processes(unittest.TestCase):
    outcomes: dict[str, dict[str, Any]]

    @classmethod
    def setUpClass(cls) -> None:
        """All at once: most of it is waiting for leases to end."""
        folder = pathlib.Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        (folder / "long.toml").write_text(LONG)
        rigs = []
        for plant, (name, seconds, told) in PLAYS.items():
            place, out = folder / f"{plant}.json", folder / f"{plant}.jsonl"
            place.write_bytes(
                fault_script.encode(fault_script.Script(name, 3, 5, seconds, sorted(told), plant))
            )
            words = ["-m", "onyxpost", "simulate", "processes", "--replay", str(place), "--out", str(out)]
            words += [str(folder / "long.toml")] if name == "long" else []
            rigs.append(subprocess.Popen([sys.executable, *words], stdout=subprocess.DEVNULL))
        for rig in rigs:
            rig.wait(60.0)
        cls.outcomes = {
            plant: json.loads((folder / f"{plant}.jsonl").read_text().splitlines()[0]) for plant in PLAYS
        }

    def test_a_kill_a_cut_and_a_stop_with_an_act_on_its_way_keep_the_rules(self) -> None:
        outcome = self.outcomes[""]
        self.assertEqual(outcome["breaches"], [])
        self.assertGreater(outcome["refused_by_fence"], 0, outcome)  # the act that was on its way
        for kind in ("stop", "kill", "cut"):
            self.assertTrue(outcome[f"{kind}_ms"], outcome)
        self.assertGreater(outcome["wrote"], 20, outcome)

    def test_bugs_put_in_are_found_by_the_rule_that_each_breaks(self) -> None:
        for plant, rule in (
            ("careless", leadership_invariants.FENCES),
            ("overstays", leadership_invariants.HOLDERS),
            ("forgets", leadership_invariants.HOLDERS),
            ("begins-anew", leadership_invariants.RECORDS),
        ):
            with self.subTest(plant):
                found = {breach["rule"] for breach in self.outcomes[plant]["breaches"]}
                self.assertIn(rule, found, self.outcomes[plant])


def duty(t: float, node: str, event: str, fence: int, **fields: Any) -> dict[str, Any]:
    return {"t": t, "event": event, "node": node, "fencing_token": fence, "role": "d"} | fields


def process(t: float, what: str) -> dict[str, Any]:
    return {"t": t, "event": "process", "node": "n0", "what": what}


class Rules(unittest.TestCase):
    def test_what_was_confirmed_before_an_era_may_be_missing_and_nothing_after_it(self) -> None:
        for wrote, broken in ((90.0, []), (110.0, [leadership_invariants.RECORDS])):
            events = [
                duty(0.0, "n0", LEASE_ACQUIRED, 1),
                duty(20.0, "n0", RECORD_COMMITTED, 1, sequence=4, record="x", at=wrote),
                duty(50.0, "n0", LEASE_LOST, 1),
                duty(60.0, "n1", LEASE_ACQUIRED, 2, era=100),
            ]
            self.assertEqual([b.rule for b in check(events, leadership_invariants.JUDGES, 1)], broken)

    def test_an_era_begins_only_after_most_voters_forgot(self) -> None:
        votes = {"event": ACCEPTOR_VOTING, "role": "d"}
        for others, broken in (([], [leadership_invariants.RECORDS]), (["n1"], [])):
            events = [votes | {"t": 10.0, "node": f"n{i}"} for i in range(3)]
            events += [process(5000.0, "killed") | {"node": name} for name in ("n0", *others)]
            events += [votes | {"t": 6000.0, "node": "n0"}]
            events += [duty(6100.0, "n4", LEASE_ACQUIRED, 2, at=16100.0, era=16000.0)]
            self.assertEqual([b.rule for b in check(events, [Eras(["n0", "n1", "n2"], 300.0)], 1)], broken)

    def test_a_lease_that_ended_before_its_line_is_no_overlap(self) -> None:
        for ago, broken in ((30.0, []), (0.0, [leadership_invariants.HOLDERS])):
            lost = duty(50.0, "n0", LEASE_LOST, 1, ended_ms_ago=ago)
            events = [duty(0.0, "n0", LEASE_ACQUIRED, 1), duty(40.0, "n1", LEASE_ACQUIRED, 2), lost]
            self.assertEqual([b.rule for b in check(events, leadership_invariants.JUDGES, 1)], broken)

    def test_an_act_that_leaves_a_node_after_its_lease_also_just_awake_is_a_breach(self) -> None:
        for t, broken in ((30.0, []), (1301.0, [leadership_invariants.HOLDERS])):
            events = [
                duty(0.0, "n0", LEASE_ACQUIRED, 1),
                process(40.0, "stopped"),
                process(1300.0, "continued"),
                {"t": t, "event": "act sent", "node": "n0", "duty": "d", "fence": 1},
                duty(1302.0, "n0", LEASE_LOST, 1, ended_ms_ago=900.0),
            ]
            self.assertEqual([b.rule for b in check(events, leadership_invariants.JUDGES, 1)], broken)

    def test_time_to_hand_over_is_told_by_fault_and_a_duty_that_was_kept_is_left_out(self) -> None:
        played = {"t": 900.0, "event": "fault played", "kind": "alone", "whom": "n1"}
        events = [
            duty(0.0, "n0", LEASE_ACQUIRED, 1),
            process(100.0, "stopped"),
            process(1300.0, "continued"),
            duty(600.0, "n1", LEASE_ACQUIRED, 2),
            played,
            duty(9000.0, "n1", LEASE_LOST, 2),
            duty(9010.0, "n2", LEASE_ACQUIRED, 3),
            duty(1301.0, "n0", LEASE_LOST, 1, ended_ms_ago=750.0),
        ]
        self.assertEqual(handed(sorted(events, key=lambda e: e["t"]), 1000.0), {"stop": [500]})


class Scripts(unittest.TestCase):
    def test_bridges_meet_in_one_voter_and_most_faults_are_a_holders(self) -> None:
        one = scenario.sized(scenario.load("duties-bridge"), 5, 300.0)
        told = scenario.scripted(one, 1)
        self.assertEqual(fault_script.decode(fault_script.encode(told), "x"), told)
        for fault in (fault for fault in told.faults if fault.kind == "bridge"):
            first, second = (set(group) for group in fault.groups)
            self.assertEqual((len(first & second), len(first | second)), (1, 5))
            self.assertEqual([len(group & {"n0", "n1", "n2"}) for group in (first, second)], [2, 2])
        held = [fault.whom[0] == "h" for fault in told.faults if fault.kind in ("kill", "stop", "term")]
        self.assertGreater(sum(held), len(held) / 2)
