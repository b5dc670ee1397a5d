"""The rig: scripts that replay, relays that do as told, a checker that names what broke, real processes."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from random import Random
from typing import Any

import h11
import pytest

from onyxpost.config import deployment
from onyxpost.leadership.service_log import LEASE_ACQUIRED, LEASE_LOST, RECORD_COMMITTED
from onyxpost.runtime.http1 import encode_message, read_response
from onyxpost.simulation.deterministic.cluster import LARGEST, SETTINGS
from onyxpost.simulation.invariants import Invariant
from onyxpost.simulation.multiprocess import fault_script, leadership_invariants, runner, scenario
from onyxpost.simulation.multiprocess.checker import check, faults
from onyxpost.simulation.multiprocess.edge_invariants import Edge
from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.fault_proxy import Manner, Relays
from onyxpost.simulation.multiprocess.fault_script import Fault
from onyxpost.simulation.multiprocess.fenced_resource import Taker

pytestmark = pytest.mark.xdist_group("quiet")  # many processes: not beside what measures time

CUT, PASS = Manner(cut=True), None
KINDS = {kind: fault_script.Some(60.0) for kind in fault_script.KINDS}


class Scripts(unittest.TestCase):
    def test_a_seed_gives_the_same_list_also_read_from_its_file(self) -> None:
        drawn = fault_script.draw(7, 5, 4, 20.0, KINDS, lease=6.0)
        self.assertEqual(fault_script.draw(7, 5, 4, 20.0, KINDS, lease=6.0), drawn)
        self.assertNotEqual(fault_script.draw(8, 5, 4, 20.0, KINDS, lease=6.0), drawn)
        whole = fault_script.Script("edge-cuts", 7, 5, 20.0, drawn)
        self.assertEqual(fault_script.decode(fault_script.encode(whole), "x"), whole)
        self.assertEqual({fault.kind for fault in drawn}, set(fault_script.KINDS))
        self.assertTrue(all(fault.lasts > 6.0 for fault in drawn if fault.kind == "stop"))
        groups = [fault.groups for fault in drawn if fault.kind == "groups"]
        self.assertEqual({len(set(one) & set(other)) for one, other in groups}, {0, 1})  # also joined by one

    def test_what_cannot_be_played_is_named_with_its_place_and_a_remedy(self) -> None:
        bad = fault_script.Script("edge-cuts", 1, 2, 5.0, [Fault(1.0, "kill", "n2", 1.0)])
        for call, place in (
            (lambda: fault_script.decode(fault_script.encode(bad), "f.json"), "$.faults[0]"),
            (lambda: fault_script.decode(b'{"scenario": 1}', "f.json"), "$.scenario"),
            (lambda: scenario.load("nowhere"), "shipped are duties-"),
            (lambda: scenario.sized(scenario.load("edge-cuts"), 65, None), "1 to 64"),
            (lambda: scenario.sized(scenario.load("edge-cuts"), 5, 601.0), "up to 600"),
        ):
            with self.assertRaises(InvalidScenarioError) as caught:
                call()
            self.assertIn(place, caught.exception.to_line())
            self.assertIn("docs/rig.md", caught.exception.to_line())


class RelaysDo(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.at: dict[str, tuple[str, int]] = {}
        self.log: list[tuple[str, bytes, bool]] = []
        self.relays = Relays(self.at.get, lambda a, b, d, p: self.log.append((a, d, p)), Random(1))
        self.far: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        server = await asyncio.start_server(lambda r, w: self.far.put_nowait((r, w)), "127.0.0.1", 0)
        self.at["b/fleet"] = server.sockets[0].getsockname()
        self.addCleanup(server.close)
        self.addAsyncCleanup(self.relays.close)

    async def line(self) -> tuple[Any, Any, Any, Any]:
        reader, writer = await asyncio.open_connection(*await self.relays.tcp("a", "b/fleet"))
        return reader, writer, *await self.far.get()

    async def until(self, *what: Any) -> None:
        async with asyncio.timeout(5.0):
            while what not in self.log:
                await asyncio.sleep(0.001)

    async def test_a_cut_one_way_holds_that_way_alone_and_loses_nothing_once_healed(self) -> None:
        for manner in (CUT, Manner(stall=True)):
            self.log.clear()
            reader, writer, there, back = await self.line()
            self.relays.way("a", "b").put(1, manner)
            writer.write(b"one")
            await self.until("a", b"one", False)  # taken, not passed
            back.write(b"other")
            self.assertEqual(await reader.readexactly(5), b"other")
            writer.write(b"two")
            writer.write_eof()
            await self.until("a", b"two", False)
            self.assertFalse([entry for entry in self.log if entry[0] == "a" and entry[2]])
            self.relays.way("a", "b").put(1, PASS)
            self.assertEqual(await there.read(), b"onetwo")

    async def test_a_delay_and_a_reset(self) -> None:
        reader, writer, there, back = await self.line()
        self.relays.way("a", "b").put(1, Manner(delay=50.0))
        self.relays.way("a", "b").put(2, Manner(delay=50.0))
        began = time.monotonic()
        writer.write(b"x")
        await there.readexactly(1)
        self.assertGreater(time.monotonic() - began, 0.099)
        self.assertEqual(self.relays.reset("b", "a"), 1)
        for one in (reader, there):
            with self.assertRaises(ConnectionResetError):
                await one.read()

    async def test_datagrams_lost_doubled_held_and_out_of_order(self) -> None:
        class End(asyncio.DatagramProtocol):
            def __init__(self) -> None:
                self.got: asyncio.Queue[tuple[bytes, Any]] = asyncio.Queue()

            def datagram_received(self, data: bytes, source: Any) -> None:
                self.got.put_nowait((data, source))

        loop = asyncio.get_running_loop()
        to_b, to_a = await self.relays.udp("a", "b"), await self.relays.udp("b", "a")
        send, _ = await loop.create_datagram_endpoint(End, local_addr=("127.0.0.1", 0))
        held, end = await loop.create_datagram_endpoint(End, local_addr=("127.0.0.1", 0))
        self.addCleanup(send.close)
        self.addCleanup(held.close)
        self.at["b/udp"] = held.get_extra_info("sockname")
        way, sent = self.relays.way("a", "b"), self.relays.datagrams["a", "b"]
        for manner, data in (
            (Manner(lose=1.0), b"lost"),
            (CUT, b"cut"),
            (Manner(stall=True), b"held"),
            (PASS, b"plain"),
            (Manner(reorder=1.0), b"late"),
            (Manner(duplicate=1.0), b"twice"),
        ):
            way.put(1, manner)
            if data == b"plain":  # one by the socket: it comes from where `b` would answer
                send.sendto(data, to_b)
                self.assertEqual(await end.got.get(), (b"held", to_a))
                self.assertEqual(await end.got.get(), (b"plain", to_a))
            else:
                sent.datagram_received(data, None)
        self.assertEqual([(await end.got.get())[0] for _ in range(3)], [b"twice", b"twice", b"late"])
        self.assertTrue(end.got.empty())


TOLD = deployment.decode_deployment(SETTINGS | {"ordinal": 0, "n_instances": 3})
EDGE = Edge(TOLD.frontends, TOLD.plans, TOLD.slow_start, TOLD.drain_grace_ms, LARGEST)


def asked(t: float, trace: str = "r1", frontend: str = "pay", plan: str = "open") -> dict[str, Any]:
    return {
        "t": t,
        "event": "asked",
        "node": "n0",
        "trace": trace,
        "frontend": frontend,
        "customer": "1",
        "plan": plan,
        "units": 3,
    }


def at(t: float, event: str, **fields: Any) -> dict[str, Any]:
    return {"t": t, "event": event, **fields}


def sent(t: float, server: int = 0, trace: str = "r1") -> dict[str, Any]:
    cell = server % 2
    return at(t, "sent", node="n0", trace=trace, server=f"s{server}-0", zone="ab"[cell], cell=cell)


def reached(t: float, server: int = 0, number: int = 1) -> dict[str, Any]:
    return sent(t, server) | {"event": "reached", "number": number, "work": 20.0}


def done(t: float, final: str = "passed", trace: str = "r1") -> dict[str, Any]:
    return at(t, "answered", trace=trace, final=final)


def process(t: float, what: str, node: str = "n0") -> dict[str, Any]:
    return at(t, "process", node=node, what=what)


class EdgeRules(unittest.TestCase):
    def violated_invariants(self, *events: dict[str, Any]) -> list[str]:
        found = check(events, (faults, EDGE), 9)
        self.assertTrue(all(breach.seed == 9 for breach in found))
        return sorted({breach.rule for breach in found})

    def test_each_rule_broken_once_is_named(self) -> None:
        gone = at(1500.0, "gone", trace="r1", how="timed out")
        cut = at(20.0, "gone", trace="r1", how="cut")
        burst = [
            e
            for i, r in enumerate(("r0", "r1", "r2", "r3", "r4", "r5"))
            for e in (asked(i, r, "look", "tight"), sent(i + 1.0, 0, r), done(i + 9.0, trace=r))
        ]
        told = at(0.0, "told", node="n0", server="s0-0", standing="draining")
        left = [
            e
            for r in ("r0", "r1", "r2")
            for e in (asked(0.0, r), at(20.0, "gone", trace=r, how="left"), sent(180.0, 0, r))
        ]
        started = [
            at(0.0, "server", server="s0-0", capacity=0.1, call=20.0),
            at(0.0, "told", node="n0", server="s0-0", standing="ready"),
        ]
        calls = [
            e
            for i in range(11)
            for r in (f"r{i}",)
            for e in (asked(1.0, r), reached(2.0, 0, i) | {"trace": r}, done(9.0, trace=r))
        ]
        for rule, events in (
            (Invariant.ANSWERS, [asked(0.0), gone]),
            (Invariant.ANSWERS, [asked(0.0), cut]),
            (Invariant.ANSWERS, [asked(0.0), done(1290.0)]),
            (
                Invariant.ANSWERS,
                [asked(0.0), done(9.0), at(10.0, "more", trace="r1", what="after its answer")],
            ),
            (Invariant.ANSWERS, [asked(0.0), done(9.0), sent(90.0)]),
            (Invariant.ANSWERS, [at(0.0, "refused", node="n0", trace="r1")]),
            (Invariant.IDEMPOTENCY, [asked(0.0), sent(1.0), sent(300.0, 1), done(340.0)]),
            (Invariant.IDEMPOTENCY, [asked(0.0), reached(1.0), reached(300.0, 1, 2), done(340.0)]),
            (Invariant.IDEMPOTENCY, [asked(0.0, frontend="post"), sent(1.0), sent(700.0, 2), done(740.0)]),
            (Invariant.DRAIN_NOTIFIED, [told, asked(300.0), sent(301.0), done(340.0)]),
            (Invariant.HARD_LIMITS, burst),
            (Invariant.DISCONNECTED_CLIENTS, left),
            ("faults", [at(5.0, "fault", node="n1", cause="ValueError")]),
            ("faults", [process(5.0, "overstayed")]),
        ):
            self.assertEqual(self.violated_invariants(*events), [rule], events)
        self.assertEqual(
            self.violated_invariants(*started, *calls),
            [Invariant.SLOW_START_WORK, Invariant.SLOW_START_CALLS],
        )
        self.assertEqual(
            self.violated_invariants(*started, *calls[:-3]), [Invariant.SLOW_START_WORK]
        )  # chance is borne in calls, not in work

    def test_what_faults_excuse_is_no_breach(self) -> None:
        late = done(1290.0)
        drain = at(50.0, "told", node="n0", server="s0-0", standing="draining")
        stopped = [process(20.0, "stopped"), process(3000.0, "continued")]
        cut = at(30.0, "gone", trace="r1", how="cut")
        for events in (
            [
                asked(0.0),
                sent(1.0),
                sent(300.0, 2),
                at(9.0, "never ran", trace="r1", server="s0-0", number=1),
                done(340.0),
            ],
            [asked(0.0), *stopped, late],
            [*stopped, drain, asked(3100.0), sent(3150.0), done(3200.0)],
            [*stopped, at(3001.0, "overdue", node="n0", request="r1")],
            [asked(0.0), process(30.0, "killed"), cut],
            [asked(0.0), at(40.0, "lag", ms=60.0), late],
            [asked(0.0), at(900.0, "lag", node="n0", ms=200.0), late],
            [at(0.0, "overdue", node="n0", request="r1"), at(30.0, "lag", node="n0", ms=60.0)],
            [process(0.0, "terminated"), asked(600.0), cut | {"t": 610.0}, process(900.0, "left")],
        ):
            self.assertEqual(self.violated_invariants(*events), [], events)
        other = at(900.0, "lag", node="n1", ms=200.0)
        self.assertEqual(self.violated_invariants(asked(0.0), other, late), [Invariant.ANSWERS])
        begun = [process(0.0, "terminated"), asked(100.0), cut | {"t": 610.0}, process(900.0, "left")]
        self.assertEqual(self.violated_invariants(*begun), [Invariant.ANSWERS])  # it still accepted then


def duty(t: float, node: str, event: str, fence: int, **fields: Any) -> dict[str, Any]:
    return at(t, event, node=node, fencing_token=fence, role="d", **fields)


def act(t: float, holder: str, fence: int, accepted: bool = True) -> dict[str, Any]:
    return at(t, "act", duty="d", holder=holder, fence=fence, accepted=accepted)


class DutyRules(unittest.TestCase):
    def violated_invariants(self, *events: dict[str, Any]) -> list[str]:
        return [breach.rule for breach in check(events, leadership_invariants.JUDGES, 1)]

    def test_each_rule_broken_once_is_named(self) -> None:
        held = duty(0.0, "n0", LEASE_ACQUIRED, 1)
        lost = duty(50.0, "n0", LEASE_LOST, 1)
        wrote = duty(20.0, "n0", RECORD_COMMITTED, 1, sequence=4, record="x")
        woken = [process(10.0, "stopped"), process(300.0, "continued")]
        for rule, events in (
            (leadership_invariants.HOLDERS, [held, duty(40.0, "n1", LEASE_ACQUIRED, 2), lost]),
            (
                leadership_invariants.HOLDERS,
                [held, *woken, duty(200.0, "n1", LEASE_ACQUIRED, 2), duty(500.0, "n0", LEASE_LOST, 1)],
            ),
            (leadership_invariants.FENCES, [held, lost, duty(60.0, "n1", LEASE_ACQUIRED, 1)]),
            (leadership_invariants.FENCES, [act(1.0, "n1", 2), act(2.0, "n0", 1)]),
            (leadership_invariants.FENCES, [act(1.0, "n1", 2), act(2.0, "n0", 2)]),
            (
                leadership_invariants.RECORDS,
                [held, wrote, lost, duty(60.0, "n1", LEASE_ACQUIRED, 2, sequence=3, record="w")],
            ),
            (
                leadership_invariants.RECORDS,
                [held, wrote, lost, duty(60.0, "n1", LEASE_ACQUIRED, 2, sequence=4, record="w")],
            ),
        ):
            self.assertEqual(self.violated_invariants(*events), [rule], events)

    def test_a_holder_that_is_stopped_or_dead_does_not_act(self) -> None:
        held, wrote = (
            duty(0.0, "n0", LEASE_ACQUIRED, 1),
            duty(5.0, "n0", RECORD_COMMITTED, 1, sequence=1, record="x"),
        )
        other = duty(200.0, "n1", LEASE_ACQUIRED, 2, sequence=1, record="x")
        late = [act(250.0, "n1", 2), act(301.0, "n0", 1, False), act(310.0, "n1", 2)]
        woken = [process(10.0, "stopped"), process(300.0, "continued"), duty(301.0, "n0", LEASE_LOST, 1)]
        self.assertEqual(self.violated_invariants(held, wrote, *woken, other, *late), [])
        self.assertEqual(self.violated_invariants(held, wrote, process(100.0, "killed"), other), [])


class Takers(unittest.IsolatedAsyncioTestCase):
    async def test_a_lower_fence_is_refused_and_told_the_highest(self) -> None:
        acts: list[dict[str, Any]] = []
        taker = Taker(lambda event, **fields: acts.append(fields | {"event": event}))
        reader, writer = await asyncio.open_connection(*await taker.open())
        self.addCleanup(taker.close)
        self.addCleanup(writer.close)
        http, got = h11.Connection(h11.CLIENT), []
        for duty_, fence in (("a", "5"), ("a", "4"), ("b", "4"), ("a", "5"), ("a", "-1")):
            headers = [("Host", "t"), ("Fence", fence), ("Holder", "n1"), ("Content-Length", "1")]
            head = h11.Request(method="POST", target=f"/acts/{duty_}", headers=headers)
            writer.write(encode_message(http, head, b"x"))
            response, _ = await read_response(http, lambda: reader.read(4096), 100)
            got.append((response.status_code, dict(response.headers)[b"fence"]))
            http.start_next_cycle()
        self.assertEqual(got, [(200, b"5"), (409, b"5"), (200, b"4"), (200, b"5"), (400, b"0")])
        self.assertEqual([one["accepted"] for one in acts], [True, False, True, True])


class Processes(unittest.TestCase):
    def played(self, nodes: int, seconds: float, told: list[Fault], plant: str = "") -> runner.Outcome:
        one = scenario.sized(scenario.load("edge-cuts"), nodes, seconds)
        return runner.play(one, fault_script.Script("edge-cuts", 3, nodes, seconds, told, plant))

    def test_five_nodes_cut_stopped_and_killed_keep_the_rules(self) -> None:
        outcome = self.played(
            5,
            4.5,
            [
                Fault(0.5, "cut", "n0>n1", 2.0),
                Fault(0.6, "cut", "s1>n3", 0.5),
                Fault(0.8, "stop", "n1", 1.4),
                Fault(1.0, "kill", "n2", 0.3),
                Fault(1.2, "drain", "s2", 0.6),
            ],
        )
        self.assertEqual(outcome.violations, [])
        self.assertEqual(outcome.faults, {"cut": 2, "drain": 1, "kill": 1, "stop": 1})
        counts = outcome.counts
        self.assertGreater(counts["passed"], 60, counts)
        self.assertGreater(counts["timed_out"] + counts["cut"] + counts["refused"], 0, counts)  # they bit

    def test_a_planted_bug_is_found_and_its_script_kept_and_played_again(self) -> None:
        kept = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        one = scenario.sized(scenario.load("edge-cuts"), 3, 2.5)
        told = fault_script.Script("edge-cuts", 3, 3, 2.5, [Fault(0.3, "drain", "s0", 1.9)], "deaf-to-drains")
        outcome = runner.play(one, told, kept)
        self.assertIn(Invariant.DRAIN_NOTIFIED, {breach.rule for breach in outcome.violations})
        self.assertEqual(fault_script.decode((kept / "edge-cuts-3" / "script.json").read_bytes(), ""), told)

    def test_interrupted_it_exits_130_and_leaves_no_process(self) -> None:
        command = [sys.executable, "-m", "onyxpost", "lab", "rig", "edge-cuts", "--nodes", "3"]
        with subprocess.Popen(command, stderr=subprocess.PIPE) as rig:
            children = pathlib.Path(f"/proc/{rig.pid}/task/{rig.pid}/children")
            until = time.monotonic() + 20.0
            while len(pids := children.read_text().split()) < 3 and time.monotonic() < until:
                time.sleep(0.02)
            rig.send_signal(signal.SIGINT)
            _, err = rig.communicate(timeout=20.0)
        self.assertEqual((rig.returncode, len(pids)), (130, 3))
        self.assertEqual(err, b"interrupted: 0 of 1 seeds were finished\n")
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(int(pid), 0)
                self.fail(f"process {pid} is left")

    def test_what_cannot_be_used_is_one_line_with_a_remedy_exit_2(self) -> None:
        command = [sys.executable, "-m", "onyxpost", "lab", "rig", "edge-cuts", "--nodes", "99"]
        done_ = subprocess.run(command, capture_output=True, text=True)
        self.assertEqual((done_.returncode, done_.stderr.count("\n")), (2, 1))
        self.assertIn("99 nodes: 1 to 64 (name a shipped scenario", done_.stderr)
