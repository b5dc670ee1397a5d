"""A watch on discovery's endpoint list: polls one address until it is cancelled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.edge.discovery_poll import (
    DiscoveryConnection,
    OpenPoll,
    PollFailedError,
    close_polls,
    limit_open_polls,
    poll_endpoints,
)
from onyxpost.edge.staleness import RETRY_PAUSE_MS, PollFailure, StalenessTracker

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.edge.discovery_client import DiscoveryClient
    from onyxpost.edge.messages import EndpointUpdate

TIMER_RESOLUTION_SECONDS = 1e-4  # a shorter wait may end before the loop's clock has advanced
MS_PER_SECOND = 1000.0


class DiscoveryWatch:
    """Polls one address and reports each update and each failure to its client.

    Attributes:
        address: the address that is polled.
        tracker: times the polls.
        is_on_alternative: `address` is the alternative one, tried as soon as the first has failed.
        first_failure: how the poll of the first address failed, if discovery was reached there.
    """

    def __init__(
        self, client: DiscoveryClient, address: Address, tracker: StalenessTracker, moved: bool
    ) -> None:
        """Creates a watch; `moved`: a reload has named its address, and it first requests all endpoints."""
        self.address = address
        self.tracker = tracker
        self.is_on_alternative = False
        self.first_failure: PollFailure | None = None
        self._client = client
        self._moved = moved
        self._open_polls: list[OpenPoll] = []  # oldest first
        self._connection: DiscoveryConnection | None = None  # of the last answer

    async def run(self) -> None:
        """Polls until cancelled."""
        try:
            while True:
                poll = self._start_poll()
                timeout_ms = self.tracker.on_poll_started(poll.started_at, poll.long_poll_ms, self._moved)
                await self._wait_for_answer(poll, timeout_ms)
        finally:
            close_polls(self._open_polls)
            if self._connection is not None:
                self._connection.abort()

    def _start_poll(self) -> OpenPoll:
        started_at = self._client.transport.clock()
        long_poll_ms = self.tracker.long_poll_ms()
        limit_open_polls(self._open_polls, self.tracker.max_open_polls, started_at)
        query = "" if self._moved else f"?since={self._client.generation}&timeout_ms={int(long_poll_ms)}"
        task = asyncio.get_running_loop().create_task(
            poll_endpoints(self._client.transport, self.address, self._connection, query)
        )
        self._connection = None
        poll = OpenPoll(task, self.address, started_at, long_poll_ms)
        self._open_polls.append(poll)
        return poll

    async def _wait_for_answer(self, newest: OpenPoll, timeout_ms: float) -> None:
        """Returns once any open poll was answered, or when the next one is due."""
        loop = asyncio.get_running_loop()
        due = loop.time() + timeout_ms / MS_PER_SECOND
        while (left := due - loop.time()) > TIMER_RESOLUTION_SECONDS:
            if not self._open_polls:
                await asyncio.sleep(left)
                return
            tasks = [poll.task for poll in self._open_polls]
            await asyncio.wait(tasks, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            finished = next((poll for poll in self._open_polls if poll.task.done()), None)
            if finished is None:
                continue
            self._open_polls.remove(finished)
            try:
                self._connection, update = finished.task.result()
            except PollFailedError as err:
                pause_ms = self._client.on_poll_failed(self, finished, err.failure, err.cause)
                due = loop.time() + pause_ms / MS_PER_SECOND
                continue
            await self._handle_answer(newest, finished, update)
            return
        if self._open_polls and self._open_polls[-1].task is newest.task:
            await self._handle_timeout()

    async def _handle_answer(self, newest: OpenPoll, answered: OpenPoll, update: EndpointUpdate) -> None:
        close_polls(self._open_polls)
        if self.address == self._client.address:
            self._client.address = answered.address
        self.address = answered.address
        self.tracker.on_poll_answered()
        elapsed_ms = self._client.transport.clock() - newest.started_at
        ignored_long_poll = (
            newest.long_poll_ms > RETRY_PAUSE_MS > elapsed_ms and update.generation <= self._client.generation
        )
        self._client.on_update(update, self._moved, answered.address)
        self._moved = False
        if ignored_long_poll:
            # An agent that answers a long poll at once, without a change, must not be polled without pause.
            await asyncio.sleep(self.tracker.retry_pause_ms() / MS_PER_SECOND)

    async def _handle_timeout(self) -> None:
        timeout = TimeoutError("no answer")
        pause_ms = self._client.on_poll_failed(self, self._open_polls[-1], PollFailure.TIMEOUT, timeout)
        if self.tracker.max_open_polls == 1:
            close_polls(self._open_polls)
            await asyncio.sleep(pause_ms / MS_PER_SECOND)
