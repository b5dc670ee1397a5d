"""Whole edge nodes on the virtual clock: faults from a seed, and bugs put in that must be found."""

import asyncio
import unittest
from typing import Any

from onyxpost.core.types import EndpointState
from onyxpost.simulation import deterministic, virtual_time
from onyxpost.simulation.deterministic.cluster import Cluster, Edge
from onyxpost.simulation.deterministic.discovery_agent import FailingAgent
from onyxpost.simulation.invariants import Invariant


class Seeds(unittest.TestCase):
    def test_a_fixed_set_breaks_no_rule(self) -> None:
        for outcome in deterministic.part(list(range(60)), ""):
            self.assertEqual(outcome.violations, [], f"seed {outcome.seed}: {outcome.faults}")
            self.assertGreater(outcome.passed, 10)

    def test_those_that_once_failed_do_not_again(self) -> None:
        # SIGTERM: one that had just connected was closed before its req was read. 220: one that waited too
        # long for the ceiling was sent on with 1 ms left, and denied before the server had it.
        # 68, 682: a connection came up within 0.5 ms of its req's time: written, denied, then at its server.
        # 407, 496: one came up after the window in which a repeat is dropped.
        for seed in (68, 407, 496, 682):
            self.assertEqual(deterministic.play(seed).violations, [], seed)
        for seed in (260, 610, 1931, 2734, 5081, 220):
            self.assertEqual(deterministic.play(seed, deterministic.drawn(seed)).violations, [], seed)

    def test_a_seed_replays_exactly(self) -> None:
        self.assertEqual(deterministic.play(23), deterministic.play(23))
        self.assertNotEqual(deterministic.play(23).digest, deterministic.play(24).digest)

    def test_each_bug_that_is_put_in_is_found_and_shrunk_to_what_it_takes(self) -> None:
        # `answer-lost` needs two things in one round, and no seed of the first 60 has them.
        for plant, rule in (
            ("resends-all", Invariant.IDEMPOTENCY),
            ("deaf-to-drains", Invariant.DRAIN_NOTIFIED),
            ("ceilings-off", Invariant.HARD_LIMITS),
            ("lost-never-ran", Invariant.IDEMPOTENCY),
            ("sends-for-the-gone", Invariant.DISCONNECTED_CLIENTS),
            ("sends-for-the-gone", Invariant.DISCONNECTED_FIRST_ATTEMPTS),
            ("deaf-watch", Invariant.DRAIN_PROPAGATED),
            ("eager-cold", Invariant.SLOW_START_CALLS),
        ):
            with self.subTest(plant=plant, rule=rule):
                found = self.first(plant, rule)
                seed, breach = found.seed, next(b for b in found.violations if b.invariant == rule)
                self.assertTrue(
                    breach.at_ms > 0.0 and breach.node and breach.request_id and breach.server, breach
                )
                least = deterministic.shrunk(found, plant)
                self.assertLessEqual(len(least.faults), len(found.faults))
                self.assertEqual(deterministic.play(seed, least.faults, plant), least)
                self.assertFalse(deterministic.play(seed).failed)

    def first(self, plant: str, rule: str) -> deterministic.Outcome:
        """Of the first 60, of those with what the bug is to be met by."""
        needs = {
            Invariant.DISCONNECTED_CLIENTS: "leave",
            Invariant.DISCONNECTED_FIRST_ATTEMPTS: "leave",
            Invariant.DRAIN_PROPAGATED: "watch-silent",
            Invariant.SLOW_START_CALLS: "cold-burst",
        }.get(rule)
        for seed in range(60):
            if needs is None or needs in {fault.kind for fault in deterministic.script(seed)}:
                found = deterministic.play(seed, None, plant)
                if rule in {breach.invariant for breach in found.violations}:
                    return found
        raise AssertionError(f"no seed of the first 60 finds {plant}")


class Told(unittest.TestCase):
    """What an agent holds counts as told at once, or in a while, or not yet."""

    def play(self, story: Any) -> None:
        async def main() -> None:
            c = Cluster(1, 1, 2)
            await c.open()
            await asyncio.sleep(0.2)
            await story(c, c.edges[0])
            c.edges[0].kill()

        virtual_time.run(main())

    def drain(self, c: Cluster, agent: FailingAgent, number: int = 0) -> None:
        c.servers[number].state = EndpointState.DRAINING
        agent.update_endpoint(c.servers[number].endpoint_row())

    def told(self, c: Cluster, server: str = "s0-0") -> tuple[float, bool] | None:
        told = c.checker.endpoint_knowledge.drain_notification("n0", server)
        return None if told is None else (round(told.at_ms - c.now()), told.was_received)

    def test_at_once_where_the_last_call_went_well(self) -> None:
        async def story(c: Cluster, edge: Edge) -> None:
            self.drain(c, edge.named)
            self.assertEqual(self.told(c), (0, True))

        self.play(story)

    def test_six_seconds_later_after_whatever_may_have_failed_and_sooner_once_it_is_heard(self) -> None:
        async def story(c: Cluster, edge: Edge) -> None:
            agent = edge.named
            agent.hush()
            self.drain(c, agent)
            self.assertEqual(self.told(c), (6000, False))
            await asyncio.sleep(5.0)  # the watch was begun anew
            told = self.told(c)
            self.assertTrue(told is not None and told[0] < 0 and told[1], told)
            for how in ("busy", "cut"):
                agent.fail(how)
                self.drain(c, agent, 1)
                self.assertEqual(self.told(c, "s1-0"), (6000, False))
                await agent.mend(how)
                c.checker.endpoint_knowledge.on_discovery_replaced("n0")

        self.play(story)

    def test_one_that_refuses_is_reached_from_its_return_on(self) -> None:
        async def story(c: Cluster, edge: Edge) -> None:
            edge.named.fail("refuse")
            self.drain(c, edge.named)
            self.assertIsNone(self.told(c))
            await asyncio.sleep(1.0)
            await edge.named.mend("refuse")
            self.assertEqual(self.told(c), (6000, False))

        self.play(story)

    def test_discovery_that_is_down_learns_nothing_and_all_counts_at_its_return(self) -> None:
        async def story(c: Cluster, edge: Edge) -> None:
            edge.named.is_silent = True
            self.drain(c, edge.named)
            self.assertIsNone(self.told(c))
            edge.named.speak()
            self.assertEqual(self.told(c), (0, True))

        self.play(story)

    def test_what_the_new_agent_holds_after_a_move_and_nothing_by_a_connection_that_ended(self) -> None:
        async def story(c: Cluster, edge: Edge) -> None:
            old, new = edge.agents
            new.is_silent = True
            edge.move()
            self.drain(c, old)
            self.assertIsNone(self.told(c))
            new.speak()
            new.reset()
            self.drain(c, new)
            self.assertEqual(self.told(c), (6000, False))

        self.play(story)

    def test_a_quiet_watch_is_answered_in_the_time_that_it_asked_for(self) -> None:
        async def story(c: Cluster, edge: Edge) -> None:
            await asyncio.sleep(20.0)
            self.assertEqual([line for line in c.logged if "discovery" in line[2]], [])

        self.play(story)

    def test_a_late_list_takes_nothing_back(self) -> None:
        async def story(c: Cluster, edge: Edge) -> None:
            was = c.servers[0].endpoint_row()
            self.drain(c, edge.named)
            edge.named.update_endpoint(was)
            self.assertEqual(edge.named.endpoints["s0-0"]["lifecycle"], "draining")

        self.play(story)
