"""The emulator, its scenarios and its reports, as a new user meets them."""

import importlib
import os
import pathlib
import pkgutil
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any

from click.testing import CliRunner, Result

from onyxpost import policy
from onyxpost.cli import main
from onyxpost.simulation import results
from onyxpost.simulation.discrete_event import batch
from onyxpost.simulation.discrete_event.scenario import Scenario, load, read, resized, shipped
from onyxpost.simulation.discrete_event.world import World, totals
from onyxpost.simulation.errors import InvalidSimulationInputError

SMALL = """
name = "small"
about = "A few of each."
seconds = 6
[fleet]
nodes = 4
servers = 4
zones = 2
[[work]]
name = "look-up"
share = 1
work_ms = [40, 60]
response_target_ms = 500
client_timeout_ms = 1500
[[plans]]
name = "plain"
customers = 40
weight = 1
spread = [1, 1]
"""


def played(more: str = "", text: str = SMALL, seed: int = 3) -> World:
    world = World(read(text + more, "small"), seed)
    world.play()
    return world


def event(kind: str, **fields: Any) -> str:
    return f'[[events]]\nkind = "{kind}"\n' + "".join(f"{k} = {v}\n" for k, v in fields.items())


class Scenarios(unittest.TestCase):
    def test_those_shipped_can_be_used(self) -> None:
        self.assertGreaterEqual(len(shipped()), 8)
        for name in shipped():
            self.assertEqual(load(name).name, name)

    def test_what_is_wrong_is_named_with_its_place(self) -> None:
        for text, place in (
            (SMALL.replace("nodes = 4", 'nodes = "4"'), "$.fleet.nodes"),
            (SMALL.replace("nodes = 4", "nodes = 0"), "$.fleet.nodes"),
            (SMALL.replace("zones = 2", "hals = 2"), "hals"),
            (SMALL.replace("[40, 60]", "[60, 40]"), "$.work[0].work_ms"),
            (SMALL.replace("seconds = 6", "seconds = -1"), "$.seconds"),
            (SMALL + event("zone-lost", at_s=1, for_s=1, zone=2), "$.events[0].zone"),
            (SMALL + event("kill", at_s=9, share=0.5), "$.events[0].at_s"),
            (SMALL + event("no-such", at_s=1), "$.events[0]"),
            (SMALL.replace('name = "small"', 'name = "small'), "small"),
        ):
            with self.assertRaises(InvalidSimulationInputError, msg=place) as caught:
                read(text, "small")
            self.assertIn(place, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_a_size_from_the_command_line_is_checked_like_one_from_a_file(self) -> None:
        one = read(SMALL, "small")
        self.assertEqual(resized(one, 8, None).fleet.nodes, 8)
        with self.assertRaises(InvalidSimulationInputError):
            resized(one, 100_000, None)


class Emulator(unittest.TestCase):
    def test_a_calm_day_passes_nearly_all_and_breaks_no_rule(self) -> None:
        world = played()
        told = totals(world)
        self.assertGreater(told["passed_value"], 0.9)
        self.assertGreater(told["tries"], 200)
        self.assertEqual(world.checker.violations, [])

    def test_the_same_seed_gives_the_same_bytes_and_another_one_others(self) -> None:
        one, same, other = (played(event("kill", at_s=2, share=0.5), seed=seed) for seed in (3, 3, 4))
        self.assertEqual(totals(one), totals(same))
        self.assertNotEqual(totals(one), totals(other))

    def test_each_trouble_is_felt(self) -> None:
        calm = totals(played())
        for more, column, worse in (
            (event("hung", at_s=1, for_s=4, share=0.5), "passed_value", -0.03),
            (event("slow", at_s=1, for_s=4, times=8), "mean_ms", 20.0),
            (event("failing", at_s=1, for_s=4, share=1, fails=0.9), "passed_value", -0.2),
            (event("surge", at_s=1, for_s=4, times=5), "tries", 100),
            (event("answers-lost", at_s=1, for_s=4, share=0.5), "attempts_per_try", 0.02),
        ):
            found = totals(played(more))
            change = found[column] - calm[column]
            self.assertGreater(change / worse, 1.0, f"{more}: {calm[column]} to {found[column]}")

    def test_servers_that_are_replaced_come_back_cold_and_are_told_of(self) -> None:
        world = played(event("release", at_s=1, for_s=2, share=0.5, steps=2, drain_s=1))
        self.assertEqual(sorted(world.servers, key=lambda s: int(s[1:]))[-2:], ["s5", "s6"])
        self.assertEqual(
            {node.name: sorted(node.known) for node in world.nodes},
            {node.name: sorted(world.servers) for node in world.nodes},
        )
        self.assertGreater(totals(world)["cold_load_most"], 0.0)
        self.assertEqual(world.checker.violations, [])

    def test_nodes_that_are_killed_come_back_and_owe_nothing_of_their_earlier_life(self) -> None:
        world = played(event("kill", at_s=2, share=1.0))
        self.assertEqual([node.life for node in world.nodes], [2, 2, 2, 2])
        self.assertGreater(sum(second["cut"] for second in world.seconds), 0)
        self.assertEqual(world.checker.violations, [])

    def test_planners_hold_the_ceiling_also_while_they_are_lost(self) -> None:
        capped = SMALL.replace("spread = [1, 1]", "spread = [2, 4]\nceiling = 1.2").replace("= 40", "= 8")
        more = "[planners]\ncount = 2\nlease_ms = 1000\n" + event("surge", at_s=2, for_s=3, times=4)
        told = totals(world := played(more + event("planners-lost", at_s=3, for_s=0.5), capped))
        self.assertEqual((world.checker.violations, told["beyond_quota"]), ([], 0.0))
        assert world.planning is not None
        planners = [planner for planner in world.planning.planners.values() if planner is not None]
        self.assertEqual([planner.epoch for planner in planners], ["p0-2", "p1-2"])
        self.assertGreater(sum(planner.ledger.counters.spent for planner in planners), 20)

    def test_a_connection_is_counted_at_its_server_as_long_as_a_node_holds_it(self) -> None:
        world = played(event("kill", at_s=2, share=0.5) + event("hung", at_s=3, for_s=1, share=0.5))
        for server in world.servers.values():
            held = sum(len(node.idle.get(server.id, [])) for node in world.nodes)
            out = sum(
                1
                for node in world.nodes
                for held_req in node.held.values()
                for f in held_req.flights
                if f is not None and f.server is server and f.linked
            )
            self.assertEqual(server.connections, held + out)


class CommandLine(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.file = self.folder / "small.toml"
        self.file.write_text(SMALL)

    def run_lab(self, *words: Any) -> Result:
        return CliRunner().invoke(main, ["simulate", *map(str, words)])

    def test_several_processes_write_the_bytes_that_one_writes(self) -> None:
        for jobs in (1, 2):
            out = self.folder / f"{jobs}.jsonl"
            found = self.run_lab("discrete-event", self.file, "--seeds", "1-3", "--jobs", jobs, "--out", out)
            self.assertEqual(found.exit_code, 0, found.output)
        self.assertEqual((self.folder / "1.jsonl").read_bytes(), (self.folder / "2.jsonl").read_bytes())

    def test_a_constant_of_the_module_is_tried_for_that_run_alone(self) -> None:
        words = ("discrete-event", self.file, "--jobs", 1, "--out")
        for name, more in (("a", ()), ("b", ("--with", "Window.START=0.01")), ("c", ())):
            self.assertEqual(self.run_lab(*words, self.folder / name, *more).exit_code, 0)
        one, tried, again = ((self.folder / name).read_bytes() for name in "abc")
        self.assertNotEqual(one, tried)
        self.assertEqual(one, again)

    def test_an_interrupted_run_keeps_what_was_finished_and_leaves_no_process(self) -> None:
        out = self.folder / "out.jsonl"
        words = [
            "simulate",
            "discrete-event",
            str(self.file),
            "--seeds",
            "1-500",
            "--jobs",
            "2",
            "--out",
            str(out),
        ]
        with subprocess.Popen(
            [sys.executable, "-u", "-m", "onyxpost", *words],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            start_new_session=True,
        ) as running:
            assert running.stdout is not None
            self.assertIn("seed 1 ", running.stdout.readline())
            running.terminate()
            _, said = running.communicate(timeout=30.0)
            self.assertIn("what was finished is kept", said)
            self.assertEqual(running.returncode, 130)
            with self.assertRaises(ProcessLookupError):  # nobody of its session is left
                for _ in range(100):
                    os.killpg(running.pid, 0)
                    time.sleep(0.05)
        self.assertIn(b'"kind":"total"', out.read_bytes())
        self.assertEqual(self.run_lab("compare", out, out).exit_code, 0)

    def test_results_are_compared_and_plotted(self) -> None:
        for name, seeds in (("a", "1-2"), ("b", "1-2"), ("c", "3-4")):
            self.run_lab(
                "discrete-event", self.file, "--seeds", seeds, "--jobs", 1, "--out", self.folder / name
            )
        same = self.run_lab("compare", self.folder / "a", self.folder / "b", "--plot", self.folder / "p.png")
        self.assertEqual((same.exit_code, same.output.count("the same")), (0, 13), same.output)
        self.assertTrue((self.folder / "p.png").read_bytes().startswith(b"\x89PNG"))
        other = self.run_lab("compare", self.folder / "a", self.folder / "c")
        self.assertIn("no difference seen", other.output)

    def test_every_constant_of_the_module_can_be_tried(self) -> None:
        kinds = [
            (kind.__name__, name)
            for found in pkgutil.iter_modules(policy.__path__)
            for kind in vars(importlib.import_module(f"onyxpost.policy.{found.name}")).values()
            if isinstance(kind, type) and kind.__module__.startswith("onyxpost.policy.")
            for name, value in vars(kind).items()
            if name.isupper() and isinstance(value, float)
        ]
        self.assertIn(("LatencyLoadShedder", "PERIOD_MS"), kinds)
        names = [f"{owner}.{name}" for owner, name in kinds]
        for name in (*names, *batch.RENAMED):
            self.assertEqual(batch.changes([f"{name}=1"]), {name: 1.0})

    def test_what_cannot_be_used_is_one_line_and_exit_2(self) -> None:
        old = self.folder / "old.jsonl"
        old.write_bytes(results.encode([{"kind": "total"}]).replace(b'"version":1', b'"version":0'))
        torn = self.folder / "torn.jsonl"
        torn.write_text('{"kind": "to')
        for words in (
            ("discrete-event", "no-such"),
            ("discrete-event", self.file, "--seeds", "5-1"),
            ("discrete-event", self.file, "--seeds", "99999999999"),
            ("discrete-event", self.file, "--nodes", "9999999"),
            ("compare", old, old),
            ("compare", torn, torn),
            ("discrete-event", self.file, "--with", "Theta.NONE=1"),
            ("discrete-event", self.file, "--with", "Theta.PERIOD"),
            ("discrete-event", self.file, "--with", "Gateway.arrived=3"),
            ("compare", self.folder / "none", old),
            ("deterministic", "--mutation", "no-such"),
            ("discrete-event", self.file, "--out", self.folder / "no" / "such"),
        ):
            found = self.run_lab(*words)
            lines = [line for line in found.output.splitlines() if line.startswith("onyxpost: ")]
            self.assertEqual((found.exit_code, len(lines)), (2, 1), f"{words}: {found.output}")
        self.assertEqual(list(self.folder.glob("*.part")), [])


class Values(unittest.TestCase):
    def test_a_quota_counts_what_is_beyond_it(self) -> None:
        from onyxpost.simulation.discrete_event.world import Quota

        quota = Quota(2.0, 4.0)
        self.assertEqual([quota.draw(0.0, 3), quota.draw(0.0, 3), quota.draw(1000.0, 3)], [0.0, 2.0, 3.0])

    def test_a_world_has_the_load_that_its_scenario_names(self) -> None:
        one: Scenario = read(SMALL, "small")
        world = World(one, 1)
        able = 4 * 2 * 1.0 * 1000.0 / 50.0  # reqs a second
        use = one.customers.greedy + (1 - one.customers.greedy) * 0.6
        self.assertAlmostEqual(40 * world.plans[0].rate * use, one.customers.busy * able)
