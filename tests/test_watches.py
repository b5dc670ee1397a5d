"""How watches begin, follow each other and end, on the virtual clock."""

from __future__ import annotations

import asyncio
import json
import unittest
from random import Random
from typing import Any

from onyxpost.config.address import Address
from onyxpost.edge.discovery_client import DiscoveryClient
from onyxpost.edge.discovery_poll import CONNECT_TIMEOUT_MS
from onyxpost.edge.messages import EndpointUpdate, EndpointUpdateFailed, decode_endpoint_update
from onyxpost.edge.staleness import (
    AGENT_BACKOFF_MIN_MS,
    RETRY_PAUSE_MS,
    PollFailure,
    StalenessTracker,
)
from onyxpost.runtime.log_event import LogEvent
from onyxpost.simulation.virtual_time import Network, run
from tests.edge.test_silent_discovery import Agent, Poll, now_ms

EVER = float("inf")


def play(agents: list[Agent], story: Any) -> tuple[DiscoveryClient, list[Any], list[LogEvent]]:
    async def main() -> tuple[DiscoveryClient, list[Any], list[LogEvent]]:
        net, got, logs = Network(Random(1)), list[Any](), list[LogEvent]()
        for n, agent in enumerate(agents):
            await net.host(f"agent{n}").listen(agent.serve, (f"a{n}", 1), 65536, 16)
        node = DiscoveryClient(net.host("n"), ("a0", 1), 1, got.append, logs.append, 7)
        await story(node, net)
        node.close()
        return node, got, logs

    return run(main())  # type: ignore[no-any-return]


class Whole(Agent):
    """Has begun anew, at a lower generation: it tells its whole list, then waits."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while b"since=3" not in await reader.readuntil(b"\r\n\r\n"):
            text = b'{"generation":3,"reset":true,"instances":[]}'
            writer.write(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        await asyncio.sleep(3600.0)


class Late(Agent):
    """Answers each question so many s late, and holds news."""

    def __init__(self, late: float) -> None:
        super().__init__(EVER)
        self.late = late

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while b"since=2" not in await reader.readuntil(b"\r\n\r\n"):
            await asyncio.sleep(self.late)
            text = b'{"generation":2,"reset":false,"instances":[]}'
            writer.write(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        await asyncio.sleep(3600.0)


class Cut(Agent):
    """Says this much to its first question and ends the connection; from then on nobody is heard there."""

    def __init__(self, said: bytes) -> None:
        super().__init__(EVER)
        self.said = said

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.polls:
            await asyncio.sleep(3600.0)
        self.polls.append(Poll(now_ms(), 0.0))
        writer.write(self.said)
        writer.close()


class Resets(Agent):
    """Answers the first question of each connection, and resets it at the second."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.polls.append(Poll(now_ms(), 0.0))
        text = b'{"generation":1,"reset":false,"instances":[]}'
        writer.write(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()


class Watches(unittest.TestCase):
    def test_one_that_answers_and_resets_in_turn_is_said_to_be_down_once_a_second(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            await asyncio.sleep(10.0)
            net.cut_off.add("n")
            await asyncio.sleep(10.0)

        agent = Resets(EVER)
        node, _, logs = play([agent], story)
        events = [log.event for log in logs]
        self.assertGreater(len(agent.polls), 50)
        self.assertEqual(
            (events.count("discovery up"), events[-1], node.is_down),
            (events.count("discovery down") - 1, "discovery down", True),
        )
        self.assertIn(events.count("discovery down"), (10, 11))

    def test_the_first_question_asks_for_an_answer_at_once_and_the_next_ones_wait(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            began = net.loop.time()
            await node.wait_for_first_answer(250.0)
            self.assertLess(net.loop.time() - began, 0.1)
            await asyncio.sleep(2.0)

        agent = Agent(EVER)
        play([agent], story)
        waits = [wait > 1.0 for _, wait in agent.polls]
        self.assertEqual(waits, [False, *[True] * (len(waits) - 1)])
        self.assertGreater(len(waits), 1)

    def test_who_refuses_is_not_waited_for_at_the_start(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            await node.wait_for_first_answer(250.0)
            self.assertLess(net.loop.time(), 0.1)

        play([], story)

    def test_a_connection_that_does_not_come_up_is_given_up_on(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            net.cut_off.add("n")
            node.start()
            await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000.0 + 0.1)
            self.assertTrue(node.is_down)

        play([Agent(EVER)], story)

    def test_after_a_move_the_old_watch_ends_and_the_new_one_asks_for_the_whole_list_once(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            await asyncio.sleep(0.5)
            node.alternative_address = ("a9", 1)
            node.change_address(("a1", 1))
            self.assertIsNone(node.alternative_address)
            await asyncio.sleep(0.1)
            self.asked = len(old.polls)
            await asyncio.sleep(9.9)
            net.reset_connections("n")  # begun anew it is no move any more
            await asyncio.sleep(1.0)
            self.assertEqual(len(node.watches), 1)

        old, new = Agent(EVER), Agent(EVER)
        _, _, logs = play([old, new], story)
        self.assertEqual(len(old.polls), self.asked)
        self.assertEqual([wait for _, wait in new.polls].count(0.0), 1)
        self.assertEqual([log.event for log in logs].count("discovery moved"), 1)

    def test_moves_that_outrun_the_agents_leave_the_old_watch_and_the_last_one(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            await asyncio.sleep(0.5)
            first = next(iter(node.watches))
            for number in (1, 2, 1, 2, 1):
                node.change_address((f"a{number}", 1))
                await asyncio.sleep(0.3)
                self.assertEqual((len(node.watches), next(iter(node.watches))), (2, first))
            self.asked = len(away.polls)
            node.change_address(("a3", 1))
            await asyncio.sleep(1.0)
            self.assertEqual(([*node.watches] == [first], len(node.watches)), (False, 1))

        class Silent(Agent):
            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                self.polls.append(Poll(now_ms(), 0.0))
                await asyncio.sleep(3600.0)

        away = Silent(EVER)
        _, _, logs = play([Agent(EVER), Silent(EVER), away, Agent(EVER)], story)
        self.assertEqual(len(away.polls), self.asked)
        self.assertEqual([log.event for log in logs].count("discovery moved"), 1)

    def test_what_the_old_agent_turns_away_after_a_move_is_not_feared(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            await asyncio.sleep(0.5)
            node.change_address(("nowhere", 1))
            await asyncio.sleep(15.0)

        old = Agent(EVER)
        old.status = 503
        self.assertNotIn(EndpointUpdateFailed(stale=True), play([old], story)[1])

    def test_the_other_address_is_forgotten_once_one_has_answered(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.alternative_address = ("a1", 1)
            node.start()
            await asyncio.sleep(1.0)
            net.reset_connections("n")
            await asyncio.sleep(1.0)
            self.assertIsNone(node.alternative_address)

        agents = [Agent(EVER), Agent(EVER)]
        play(agents, story)
        self.assertEqual(agents[1].polls, [])

    def test_a_watch_whose_connection_ends_goes_on_within_the_200_ms_that_keep_it(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            for _ in range(5):
                await asyncio.sleep(1.0)
                self.ended.append(net.loop.time() * 1000.0)
                net.reset_connections("n")
            await asyncio.sleep(1.0)

        self.ended = list[float]()
        agent = Agent(EVER)
        play([agent], story)
        for at in self.ended:
            self.assertTrue([q for q, _ in agent.polls if at < q < at + 200.0])

    def test_changes_older_than_what_is_held_are_not_taken_and_do_not_lower_the_generation(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.generation = 5
            node.start()
            await asyncio.sleep(3.0)

        for news in (EVER, 500.0):  # nothing, or a row of an older generation
            agent = Agent(EVER)
            agent.change_at = news
            node, got, _ = play([agent], story)
            self.assertEqual((node.generation, [v for v in got if isinstance(v, EndpointUpdate)]), (5, []))
            self.assertLess(len(agent.polls), 40)  # it answers at once, and is not asked without end

    def test_connections_that_come_up_late_and_answers_that_come_late_are_heard(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            dial = net.dial

            async def late(name: str, address: Address, limit: int) -> Any:
                await asyncio.sleep(self.up)
                return await dial(name, address, limit)

            net.dial = late  # type: ignore[method-assign]
            node.start()
            await asyncio.sleep(self.up + self.says + 0.5)
            self.assertEqual(node.generation, 2)

        for self.up, self.says in ((1.5, 0.0), (0.0, 1.5), (1.0, 1.5)):
            play([Late(self.says)], story)

    def test_a_cut_answer_before_an_outage_may_hide_news_a_connection_that_ended_does_not(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            await asyncio.sleep(9.0)

        for said in (b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{", b"HTTP/1.1 2", b""):
            _, got, _ = play([Cut(said)], story)
            self.assertEqual(EndpointUpdateFailed(stale=True) in got, said != b"")

    def test_a_whole_list_of_a_discovery_that_has_begun_anew_is_taken(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.generation = 41
            node.start()
            await asyncio.sleep(1.0)

        agent = Whole(EVER)
        node, got, _ = play([agent], story)
        whole = [v.complete for v in got if isinstance(v, EndpointUpdate)]
        self.assertEqual((node.generation, whole[:1]), (3, [True]))

    def test_an_indented_list_is_one(self) -> None:
        whole = {"generation": 9, "reset": True, "instances": [{"instanceId": "s", "lifecycle": "up"}]}
        text = json.dumps(whole, indent=4).replace("\n", "\r\n").encode()
        self.assertEqual(
            (
                decode_endpoint_update(text).generation,
                len(decode_endpoint_update(text + b"\n\n").endpoints),
            ),
            (9, 1),
        )

    def test_nothing_is_told_after_the_end(self) -> None:
        async def story(node: DiscoveryClient, net: Network) -> None:
            node.start()
            await asyncio.sleep(4.0)
            node.close()
            await asyncio.sleep(9.0)

        agent = Agent(EVER)
        agent.status = 503
        self.assertNotIn(EndpointUpdateFailed(stale=True), play([agent], story)[1])

    def test_a_spoilt_answer_is_asked_for_again_at_once_and_an_answer_begins_the_pauses_anew(self) -> None:
        clock = StalenessTracker(Random(1))
        clock.on_poll_started(0.0, 1.0)
        pauses = [clock.on_poll_failed(1.0, PollFailure.MALFORMED_ANSWER) for _ in range(40)]
        self.assertLessEqual(max(pauses), 1.25 * RETRY_PAUSE_MS)  # within the 200 ms that keep a watch
        self.assertGreater(max(pauses) - min(pauses), 0.5 * RETRY_PAUSE_MS)  # a fleet does not ask in step
        for _ in range(4):
            clock.on_poll_failed(1.0, PollFailure.OVERLOADED)
        self.assertGreater(
            max(clock.on_poll_failed(1.0, PollFailure.OVERLOADED) for _ in range(40)), AGENT_BACKOFF_MIN_MS
        )
        clock.on_poll_answered()
        for _ in range(40):
            clock.on_poll_started(0.0, 1.0)
            self.assertLessEqual(clock.on_poll_failed(1.0, PollFailure.OVERLOADED), AGENT_BACKOFF_MIN_MS)
            clock.on_poll_answered()


if __name__ == "__main__":
    unittest.main()
