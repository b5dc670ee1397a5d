"""A watch on discovery's endpoint list, which polls until it is cancelled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.edge.discovery_poll import (
    DiscoveryConnection,
    OpenPoll,
    PollFailedError,
    close_polls,
    limit_open_polls,
    poll_endpoints,
)
from onyxpost.edge.poll_schedule import RETRY_PAUSE_MS, PollFailure, PollSchedule

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.edge.discovery_address import AddressChoice
    from onyxpost.edge.messages import EndpointUpdate
    from onyxpost.runtime.transport import Transport

TIMER_RESOLUTION_SECONDS = 1e-4  # shorter waits may end before the event loop's clock has advanced


class WatchAnswered(NamedTuple):
    """A poll of a watch was answered.

    Attributes:
        watch: the watch.
        address: the address that answered.
        update: the decoded answer.
        is_after_move: whether this is the first answer after a reload has set the address.
    """

    watch: DiscoveryWatch
    address: Address
    update: EndpointUpdate
    is_after_move: bool


class WatchFailed(NamedTuple):
    """A poll of a watch failed.

    A timeout on a reused connection is not reported, as the connection may be at fault.

    Attributes:
        watch: the watch.
        address: the address that the watch polls next. With two possible addresses, a failure is reported
            once both have failed in turn, so this may not be the one that `cause` belongs to.
        failure: the kind of failure; it may be that of the first of two addresses.
        cause: the error of the latest failed poll.
    """

    watch: DiscoveryWatch
    address: Address
    failure: PollFailure
    cause: Exception


class WatchListener(Protocol):
    """Receives the answers and failures of a watch."""

    @property
    def generation(self) -> int:
        """The generation of the endpoints that the node has."""

    def on_watch_answered(self, answered: WatchAnswered) -> None:
        """Handles an answer to a poll."""

    def on_watch_failed(self, failed: WatchFailed) -> None:
        """Handles a failure, after the schedule of the watch has recorded it."""


class DiscoveryWatch:
    """Polls discovery and reports answers and failures to its listener.

    Attributes:
        schedule: decides when to poll, and when the list may be stale.
    """

    def __init__(
        self,
        transport: Transport,
        listener: WatchListener,
        addresses: AddressChoice,
        schedule: PollSchedule,
        *,
        is_after_move: bool = False,
    ) -> None:
        """Creates a watch without sending a poll.

        Args:
            transport: the node's transport.
            listener: receives the answers and failures.
            addresses: selects the address to poll.
            schedule: decides when to poll, and when the list may be stale.
            is_after_move: whether a reload has set the address, so that polls request all endpoints until
                one is answered.
        """
        self.schedule = schedule
        self._transport = transport
        self._listener = listener
        self._addresses = addresses
        self._is_after_move = is_after_move
        self._open_polls: list[OpenPoll] = []  # oldest first
        self._connection: DiscoveryConnection | None = None  # the idle connection of the last answer

    async def run(self) -> None:
        """Polls until cancelled."""
        try:
            while True:
                poll = self._start_poll()
                timeout_ms = self.schedule.on_poll_started(
                    poll.started_at, poll.long_poll_ms, is_after_move=self._is_after_move
                )
                await self._wait_for_answer(poll, timeout_ms)
        finally:
            close_polls(self._open_polls)
            if self._connection is not None:
                self._connection.abort()

    def _start_poll(self) -> OpenPoll:
        started_at = self._transport.clock()
        long_poll_ms = self.schedule.long_poll_ms()
        limit_open_polls(self._open_polls, self.schedule.max_open_polls, started_at)
        query = (
            ""
            if self._is_after_move
            else f"?since={self._listener.generation}&timeout_ms={int(long_poll_ms)}"
        )
        address = self._addresses.address
        task = asyncio.get_running_loop().create_task(
            poll_endpoints(self._transport, address, self._connection, query)
        )
        self._connection = None
        poll = OpenPoll(task, address, started_at, long_poll_ms)
        self._open_polls.append(poll)
        return poll

    async def _wait_for_answer(self, newest: OpenPoll, timeout_ms: float) -> None:
        """Waits until an open poll was answered and handled, or the next poll is due."""
        loop = asyncio.get_running_loop()
        next_poll_at = loop.time() + timeout_ms / MS_PER_SECOND
        while (remaining_seconds := next_poll_at - loop.time()) > TIMER_RESOLUTION_SECONDS:
            if not self._open_polls:
                await asyncio.sleep(remaining_seconds)
                return
            tasks = [poll.task for poll in self._open_polls]
            await asyncio.wait(tasks, timeout=remaining_seconds, return_when=asyncio.FIRST_COMPLETED)
            finished = next((poll for poll in self._open_polls if poll.task.done()), None)
            if finished is None:
                continue
            self._open_polls.remove(finished)
            try:
                self._connection, update = finished.task.result()
            except PollFailedError as err:
                pause_ms = self._handle_failure(finished, err.failure, err.cause)
                next_poll_at = loop.time() + pause_ms / MS_PER_SECOND
                continue
            await self._handle_answer(newest, finished, update)
            return
        if self._open_polls and self._open_polls[-1].task is newest.task:
            await self._handle_timeout()

    async def _handle_answer(self, newest: OpenPoll, answered: OpenPoll, update: EndpointUpdate) -> None:
        close_polls(self._open_polls)
        self._addresses.on_poll_answered(answered.address)
        self.schedule.on_poll_answered()
        elapsed_ms = self._transport.clock() - newest.started_at
        is_long_poll_ignored = (
            newest.long_poll_ms > RETRY_PAUSE_MS > elapsed_ms
            and update.generation <= self._listener.generation
        )
        self._listener.on_watch_answered(WatchAnswered(self, answered.address, update, self._is_after_move))
        self._is_after_move = False
        if is_long_poll_ignored:
            # Without a pause, an agent that answers long polls at once would be polled in a busy loop.
            await asyncio.sleep(self.schedule.retry_pause_ms() / MS_PER_SECOND)

    async def _handle_timeout(self) -> None:
        timeout = TimeoutError("discovery did not answer in time")
        pause_ms = self._handle_failure(self._open_polls[-1], PollFailure.TIMEOUT, timeout)
        if self.schedule.max_open_polls == 1:
            close_polls(self._open_polls)
            await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def _handle_failure(self, poll: OpenPoll, failure: PollFailure, cause: Exception) -> float:
        """Handles the failure of a poll and returns the time in ms until the next poll."""
        reported_failure = self._addresses.on_poll_failed(failure)
        if reported_failure is None:
            return 0.0
        now = self._transport.clock()
        if reported_failure is PollFailure.TIMEOUT and not self.schedule.is_reconnecting:
            # Possibly only the reused connection has failed; the next poll, on a new connection, shows
            # whether discovery is down.
            return self.schedule.on_poll_failed(now, reported_failure)
        pause_ms = self.schedule.on_poll_failed(now, reported_failure, poll.started_at)
        self._listener.on_watch_failed(WatchFailed(self, self._addresses.address, reported_failure, cause))
        return pause_ms
