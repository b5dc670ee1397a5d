"""Watches the list of servers that discovery's agent holds. I/O only."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable
from functools import partial
from random import Random

import h11

from onyxpost.edge import messages as m
from onyxpost.edge.errors import TurnedAway
from onyxpost.edge.exchange import READ, again, answered, message
from onyxpost.edge.listclock import WAIT, Failure, ListClock
from onyxpost.edge.net import Net
from onyxpost.errors import Unreadable

DIAL = 1000.0  # ms for a connection: the agent is on this machine
LIST_MOST = 8 * 1024 * 1024


class Discovery:
    def __init__(
        self, net: Net, address: m.Address, generation: int, post: Callable[[m.Incoming], None],
        log: Callable[[m.Log], None], seed: int = 0, failed_call: float = 0.0,
    ) -> None:  # fmt: skip
        """`failed_call`: ms in which nothing counts as told after a call that discovery turned away."""
        self.chance, self.failed_call = Random(seed), failed_call
        self.net, self.address, self.generation, self.post, self.log = net, address, generation, post, log
        self.too: m.Address | None = None  # where else it may be, until one of both has answered
        self.down = self.stale = False
        self.old: asyncio.TimerHandle | None = None  # when news comes to count as told that has not come
        self.asked = asyncio.Event()  # the first answer is here, or there is none to be had
        # Each with its clock, oldest first: after a move, those that the next one is to replace too.
        self.watches: dict[asyncio.Task[None], ListClock] = {}

    def begin(self) -> None:
        if not self.watches:
            self.watch_at(self.address)

    async def heard_first(self, most: float) -> None:
        """Until the agent has told what it holds; one that is silent is waited for up to `most` ms."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(most / 1000.0):
                await self.asked.wait()

    def move(self, address: m.Address) -> None:
        """The old watch goes on until the new address has told its list, so nothing is missed between."""
        if address != self.address and self.watches:
            self.watch_at(address, moved=True)
        self.address, self.too = address, None

    def watch_at(self, address: m.Address, moved: bool = False) -> None:
        clock = ListClock(self.chance, self.failed_call)
        self.watches[asyncio.get_running_loop().create_task(self.watch(address, clock, moved))] = clock

    def close(self) -> None:
        if self.old is not None:
            self.old.cancel()
        for watch in self.watches:
            watch.cancel()

    async def watch(self, address: m.Address, clock: ListClock, moved: bool = False) -> None:
        spoke: Failure | None = None  # how the other address came to nothing, just tried, if it may hold news
        swapped = False  # the other address is tried at once, the first one again after a while
        while True:
            try:
                async for listed in self.watch_on_one(address, clock, moved):
                    clock.answered()
                    self.told(listed, moved)
                    moved = False
            except (OSError, h11.ProtocolError, Unreadable) as err:
                failure = _failure(err)
                if self.too is not None and address == self.address:
                    address, self.too = self.too, address
                    self.address, swapped = address, not swapped
                    if swapped:
                        spoke = failure if failure in (Failure.TURNED_AWAY, Failure.SPOILT) else None
                        continue
                    failure, spoke = spoke or failure, None
                self.asked.set()
                if not self.down and address == self.address:
                    self.down = True
                    cause = {"cause": f"{type(err).__name__}: {err}"[:200]}
                    cause |= {"remedy": err.remedy} if isinstance(err, Unreadable) else {}
                    self.log(m.Log("discovery down", cause, logging.WARNING))
                    self.post(m.ListFailed())
                left = clock.failed(self.net.clock(), failure)
                if address != self.address:
                    clock.stale_at = None  # what counts is what the agent holds that is named now
                self.may_become_old()
                await asyncio.sleep(left / 1000.0)

    def stale_in(self) -> float | None:
        """ms until news counts as told that has not come, by any of the watches."""
        now = self.net.clock()
        lefts = [left for clock in self.watches.values() if (left := clock.stale_in(now)) is not None]
        return min(lefts, default=None)

    def may_become_old(self) -> None:
        """When news comes to count as told that has not come the module is to hear of it."""
        if self.old is not None:
            self.old.cancel()
            self.old = None
        if (left := self.stale_in()) is not None and not self.stale:
            self.old = asyncio.get_running_loop().call_later(left / 1000.0, self.may_be_old)

    def may_be_old(self) -> None:
        self.stale = True
        self.log(m.Log("list may be old", {"generation": self.generation}, logging.WARNING))
        self.post(m.ListFailed(stale=True))

    def told(self, listed: m.Listed, moved: bool) -> None:
        own = asyncio.current_task()
        for older in list(self.watches):
            if older is own:
                break
            older.cancel()
            del self.watches[older]
        if self.down:
            self.down = False
            self.log(m.Log("discovery up", {"generation": listed.generation}))
        if moved:
            self.log(m.Log("discovery moved", {"generation": listed.generation, "held": self.generation}))
            if listed.generation < self.generation:  # older than what is held: what is newer still comes
                listed = m.Listed(self.generation, False, [], {})
        self.generation, self.too = listed.generation, None
        was, self.stale = self.stale, self.stale and self.stale_in() == 0.0  # by a later watch's clock
        self.may_become_old()
        self.asked.set()
        if listed.rows or listed.complete or was != self.stale:
            self.post(listed)
            if self.stale:
                self.post(m.ListFailed(stale=True))  # a list says that all is told

    async def watch_on_one(
        self, address: m.Address, clock: ListClock, whole: bool
    ) -> AsyncIterator[m.Listed]:
        """Watch after watch on one connection, until it fails; `whole`: the first asks for the whole list."""
        async with asyncio.timeout(DIAL / 1000.0):
            reader, writer, *_ = await self.net.dial(address, READ)
        try:
            http = h11.Connection(h11.CLIENT)
            watching = True
            while watching:
                # The first one is answered at once, with whatever is newer than the list in the file.
                wait = int(WAIT) if self.asked.is_set() else 1
                target = "/v1/servers" if whole else f"/v1/servers?since={self.generation}&timeout_ms={wait}"
                host = [("Host", "{}:{}".format(*address))]
                writer.write(message(http, h11.Request(method="GET", target=target, headers=host)))
                patience = clock.asked(self.net.clock(), wait, moved=whole)
                async with asyncio.timeout(patience / 1000.0):
                    response, text = await answered(http, partial(reader.read, READ), LIST_MOST)
                if response.status_code != 200:
                    raise TurnedAway(f"status {response.status_code}")
                whole = False
                yield m.listed(text)
                watching = again(http)
        finally:
            writer.transport.abort()


def _failure(err: Exception) -> Failure:
    if isinstance(err, TurnedAway):
        return Failure.TURNED_AWAY
    if isinstance(err, TimeoutError):
        return Failure.SILENT
    return Failure.AWAY if isinstance(err, OSError) else Failure.SPOILT
