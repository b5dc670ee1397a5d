"""Each fault at each point of a watch, on the virtual clock: a change arrives in time or counts as missed."""

from __future__ import annotations

import asyncio
import errno
import itertools
from random import Random
from typing import Any

import pytest

from onyxpost.config.address import Address
from onyxpost.edge.discovery_client import DiscoveryClient
from onyxpost.edge.messages import EndpointUpdate, EndpointUpdateFailed
from onyxpost.edge.staleness import (
    AGENT_ANSWER_MARGIN_MS,
    AGENT_BACKOFF_MAX_MS,
    AGENT_LONG_POLL_MS,
    ANSWER_TIMEOUT_MS,
    STALE_AFTER_MS,
    STALE_AFTER_RELOAD_MS,
)
from onyxpost.simulation.virtual_time import Network, run

GRACE = 250.0  # ms of a drain on the strictest site: what an agent holds at its return counts at once
SPEAKS = ("turned away", "spoilt", "cut", "reset", "no room")  # somebody is there, over and over
DIALS = ("refusal", "late", "no room")  # trouble with new connections
TROUBLES = ("silence", "refusal", "late", *SPEAKS)
POINTS = ("start", "mid-wait", "mid-answer", "between two", "after a move")
CASES = list(itertools.product(TROUBLES, POINTS, (700.0, 2500.0, 9000.0)))


class Troubled:
    """An agent that holds news from `news` on and is in trouble from `begins` to `ends` (ms). What is asked
    or under way in that time is never answered well, also not after it."""

    def __init__(self, trouble: str, point: str, begins: float, ends: float, news: float) -> None:
        self.trouble, self.point, self.begins, self.ends, self.news = trouble, point, begins, ends, news
        self.asked: list[float] = []
        self.struck, self.over = False, ends
        self.last = False  # the answer ends the connection, for the next question to be on a new one

    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    async def until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.now()) / 1000.0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (OSError, EOFError):
                return
            asked = self.now()
            self.asked.append(asked)
            query = head.split(b" ")[1].partition(b"?")[2].decode()
            given = dict(part.split("=") for part in query.split("&")) if query else {}
            since, wait = int(given.get("since", 0)), float(given.get("timeout_ms", 0))
            due = asked + wait
            if since < 2:
                due = asked if not since else max(asked, min(due, self.news))
            if self.point == "between two" and asked < self.begins <= due:
                later, self.point = due + 0.001 - self.begins, ""  # the next question comes into the trouble
                self.begins, self.ends, self.news = self.begins + later, self.ends + later, self.news + later
                self.over, self.last = self.ends, self.trouble in DIALS
            if asked < self.begins <= due and self.point == "mid-answer":
                await self.until(self.begins)
                writer.write(self.answer(since)[:-1])
                await self.strike(writer, begun=True)
                return
            if self.begins <= due and asked < self.ends and (asked >= self.begins or due >= self.begins):
                await self.until(self.begins)
                await self.strike(writer)
                return
            await self.until(due)
            writer.write(self.answer(since))
            if self.last:
                self.last = False
                writer.close()

    def answer(self, since: int) -> bytes:
        new = self.now() >= self.news and since < 2
        row = b'{"instanceId":"s0","hostPort":"h:1","lifecycle":"draining"}' if new else b""
        generation = 2 if self.now() >= self.news else 1
        text = b'{"generation":%d,"reset":false,"instances":[%s]}' % (generation, row)
        more = b"Connection: close\r\n" * self.last
        return b"HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n" % (more, len(text)) + text

    async def strike(self, writer: asyncio.StreamWriter, begun: bool = False) -> None:
        self.struck = True
        if self.trouble == "silence":
            await asyncio.sleep(3600.0)
        elif self.trouble == "turned away" and not begun:
            writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(0.01)
        elif self.trouble == "spoilt":
            writer.write(b"}" if begun else b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n[]")
            await asyncio.sleep(0.01)
        elif self.trouble == "cut" and not begun:
            writer.write(self.answer(1)[:-9])
        if self.trouble == "cut":
            writer.close()
        else:
            writer.transport.abort()


def told(trouble: str, point: str, begins: float, lasts: float, shared: bool = False) -> tuple[Any, ...]:
    """When the trouble really began, when the news was there, when it was known that news may be hidden."""
    moved = point == "after a move"
    ends, news = begins + lasts, begins + 0.6 * lasts

    async def play() -> tuple[Any, ...]:
        net, got, loop = Network(Random(1)), list[Any](), asyncio.get_running_loop()
        agent = Troubled(trouble, point, begins, ends, news)
        good = Troubled(trouble, "", 1e9, 1e9, 1e9)
        named = [good, agent] if moved else [agent]
        for n, each in enumerate(named):
            await net.host(f"agent{n}").listen(each.serve, (f"a{n}", 1), 65536, 16)
        last = ("a1", 1) if moved else ("a0", 1)
        host, dial = net.host("n"), net.host("n").dial
        listener = net.listeners[last]

        async def troubled(address: Address, limit: int) -> Any:
            if address == last and agent.begins <= agent.now() < agent.ends:
                if trouble == "refusal":
                    raise ConnectionRefusedError("nobody there")
                if trouble == "no room":
                    agent.struck = True
                    raise OSError(errno.EMFILE, "too many open files")
                if trouble == "late":
                    agent.struck = True
                    await asyncio.sleep(1.5)
            return await dial(address, limit)

        host.dial = troubled  # type: ignore[method-assign]
        if trouble in DIALS and point != "between two":
            loop.call_at(begins / 1000.0, net.reset_connections, "agent1" if moved else "agent0")
        self_serve = listener.serve
        if trouble == "late":  # a late connection is in trouble by being late alone
            agent.strike = lambda writer, begun=False: asyncio.sleep(3600.0)  # type: ignore[method-assign]

            async def serve(reader: Any, writer: Any) -> None:
                if agent.struck:
                    agent.begins, agent.ends = 1e9, 1e9
                await self_serve(reader, writer)

            listener.serve = serve
        post = lambda value: got.append((loop.time() * 1000.0, value))  # noqa: E731
        node = DiscoveryClient(host, ("a0", 1), 1, post, lambda log: None, 7, shared)
        node.start()
        if moved:
            await asyncio.sleep(begins / 1000.0)
            node.change_address(("a1", 1))
        await asyncio.sleep((ends + 9000.0) / 1000.0 - loop.time())
        node.close()
        here = [at for at, v in got if isinstance(v, EndpointUpdate) and v.endpoints]
        stale = [at for at, v in got if isinstance(v, EndpointUpdateFailed) and v.stale]
        return agent.struck or trouble == "refusal", here, stale, max(ends, agent.over)

    return run(play())  # type: ignore[no-any-return]


@pytest.mark.parametrize(("trouble", "point", "lasts"), CASES)
def test_a_pushed_change_arrives_within_the_drain_grace_and_an_outage_hides_none(
    trouble: str, point: str, lasts: float
) -> None:
    begins = 0.0 if point == "start" else 2500.0
    struck, here, stale, ends = told(trouble, point, begins, lasts)
    assert struck
    assert len(here) == 1
    late = AGENT_BACKOFF_MAX_MS if trouble == "turned away" else 0.0
    # One that ends before a watch's wait is over hit that question alone: its 6 s run.
    doubt = (
        ends - lasts + AGENT_LONG_POLL_MS + AGENT_ANSWER_MARGIN_MS if trouble in ("silence", "late") else 0.0
    )
    assert here[0] < max(ends, doubt) + GRACE + late
    counts = STALE_AFTER_RELOAD_MS if point == "after a move" else STALE_AFTER_MS
    hides = trouble in SPEAKS and lasts > counts
    assert len(stale) == hides
    if hides:
        assert stale[0] <= ends - lasts + counts + 10.0


@pytest.mark.parametrize(("trouble", "point", "lasts"), CASES)
def test_a_polled_change_arrives_within_6_s_or_counts_as_missed(
    trouble: str, point: str, lasts: float
) -> None:
    begins = 0.0 if point == "start" else 2500.0
    struck, here, stale, ends = told(trouble, point, begins, lasts, shared=True)
    assert struck
    counts = STALE_AFTER_RELOAD_MS if point == "after a move" else STALE_AFTER_MS
    assert here[0] < ends + counts - ANSWER_TIMEOUT_MS
    if trouble in SPEAKS and lasts > counts:
        assert stale[0] <= ends - lasts + counts + 10.0
    else:
        assert not stale
