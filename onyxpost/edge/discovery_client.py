"""Follows the endpoint list of a discovery agent or service and reports its changes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from random import Random
from typing import TYPE_CHECKING, Any

from onyxpost.edge.discovery_watch import DiscoveryWatch
from onyxpost.edge.messages import EdgeEvent, EndpointUpdate, EndpointUpdateFailed
from onyxpost.edge.staleness import PollFailure, StalenessTracker
from onyxpost.errors import InvalidInputError
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.edge.discovery_poll import OpenPoll
    from onyxpost.runtime.transport import Transport

# Between log lines about outages: an agent that answers and resets in turn would cause ten lines a second.
OUTAGE_LOG_INTERVAL_MS = 1000.0
MAX_LOGGED_CAUSE_CHARS = 200  # of an error's text, which may quote an answer
MS_PER_SECOND = 1000.0
# After these a discovery was reached, which may know of a change.
ANSWERED_FAILURES = (PollFailure.OVERLOADED, PollFailure.MALFORMED_ANSWER)


class DiscoveryClient:
    """Watches discovery's endpoint list and posts its updates, outages and staleness as events.

    Attributes:
        address: the address of discovery.
        alternative_address: a second address that discovery may have, until one of the two has answered.
        generation: discovery's version of the endpoint list that this node has.
        is_down: a poll of `address` has failed, and none has been answered since.
        is_stale: the endpoint list may be stale, see `onyxpost.edge.staleness`.
        watches: each running watch with the tracker of its polls, oldest first. After a change of address
            the watch on the old one goes on until the new one has answered.
    """

    def __init__(
        self,
        transport: Transport,
        address: Address,
        generation: int,
        post: Callable[[EdgeEvent], None],
        log: Callable[[LogEvent], None],
        seed: int = 0,
        shared: bool = False,
    ) -> None:
        """Creates a client that is not started.

        Args:
            transport: the node's transport.
            address: the address of discovery.
            generation: the version of the endpoint list in the node's file.
            post: receives the events.
            log: receives the log events.
            seed: for the jitter between polls.
            shared: the discovery service itself is polled, in place of an agent that lists are pushed to.
        """
        self.transport = transport
        self.address = address
        self.alternative_address: Address | None = None
        self.generation = generation
        self.is_down = False
        self.is_stale = False
        self.watches: dict[asyncio.Task[None], StalenessTracker] = {}
        self._post = post
        self._log = log
        self._rng = Random(seed)
        self._shared = shared
        self._outage_logged = False
        self._next_outage_log_at = 0.0  # ms
        self._stale_timer: asyncio.TimerHandle | None = None
        self._first_poll_finished = asyncio.Event()  # answered, or failed other than by a timeout

    def start(self) -> None:
        """Starts watching, unless it has started already."""
        if not self.watches:
            self.start_watch(self.address)

    async def wait_for_first_answer(self, timeout_ms: float) -> None:
        """Returns once a poll was answered, or failed other than by a timeout, or after `timeout_ms`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await self._first_poll_finished.wait()

    def change_address(self, address: Address) -> None:
        """Watches another address.

        The old watch goes on until the new address has answered, so no change is missed in between. A watch
        on an address that was named in between, and has not answered yet, is cancelled.
        """
        if address != self.address and self.watches:
            for watch in list(self.watches)[1:]:
                watch.cancel()
                del self.watches[watch]
            self.start_watch(address, moved=True)
            self._schedule_staleness()
        self.address = address
        self.alternative_address = None

    def start_watch(self, address: Address, moved: bool = False) -> None:
        """Starts a watch; `moved`: a reload has just named its address."""
        tracker = StalenessTracker(self._rng, self._shared)
        watch = DiscoveryWatch(self, address, tracker, moved)
        self.watches[asyncio.get_running_loop().create_task(watch.run())] = tracker

    def close(self) -> None:
        """Cancels all watches."""
        if self._stale_timer is not None:
            self._stale_timer.cancel()
        for watch in self.watches:
            watch.cancel()

    def on_poll_failed(
        self, watch: DiscoveryWatch, poll: OpenPoll, failure: PollFailure, cause: Exception
    ) -> float:
        """Handles the failure of a watch's poll; returns the time in ms until its next poll."""
        now = self.transport.clock()
        reconnecting = watch.tracker.reconnecting
        if self.alternative_address is not None and watch.address == self.address:
            failed_address = watch.address
            watch.address = self.alternative_address
            self.alternative_address = failed_address
            self.address = watch.address
            watch.is_on_alternative = not watch.is_on_alternative
            if watch.is_on_alternative:
                watch.first_failure = failure if failure in ANSWERED_FAILURES else None
                return 0.0
            failure = watch.first_failure or failure
            watch.first_failure = None
        if failure is not PollFailure.TIMEOUT:
            self._first_poll_finished.set()
        elif not reconnecting:
            # Only a poll on a new connection shows whether more than this one connection has failed.
            return watch.tracker.on_poll_failed(now, failure)
        if watch.address == self.address:
            self._report_outage(now, cause)
        pause_ms = watch.tracker.on_poll_failed(now, failure, poll.started_at)
        if watch.address != self.address:
            watch.tracker.ignore_missed_changes()  # only changes known at the current address count
        self._schedule_staleness()
        return pause_ms

    def on_update(self, update: EndpointUpdate, moved: bool, address: Address) -> None:
        """Applies the answer of `address` to the current task's watch, and ends older watches.

        `moved`: it is the first answer after a reload has named the address.
        """
        self._cancel_older_watches()
        if self.is_down and address == self.address:  # an answer of the old address does not end an outage
            if self._outage_logged:
                self._log(LogEvent("discovery up", {"generation": update.generation}))
            self.is_down = False
            self._outage_logged = False
        if moved:
            fields = {"generation": update.generation, "held": self.generation}
            self._log(LogEvent("discovery moved", fields))
        if update.generation < self.generation and (moved or not update.complete):
            # Older than the list that this node has: the newer changes are still to come. A complete list
            # that was not requested is accepted, as discovery has restarted.
            update = EndpointUpdate(self.generation, False, [], {})
        self.generation = update.generation
        self.alternative_address = None
        was_stale = self.is_stale
        self.is_stale = self.is_stale and self._stale_in_ms() == 0.0  # by a later watch's tracker
        self._schedule_staleness()
        self._first_poll_finished.set()
        if update.endpoints or update.complete or was_stale != self.is_stale:
            self._post(update)
            if self.is_stale:
                self._post(EndpointUpdateFailed(stale=True))  # an update alone would end the staleness

    def _cancel_older_watches(self) -> None:
        current = asyncio.current_task()
        for watch in list(self.watches):
            if watch is current:
                break
            watch.cancel()
            del self.watches[watch]

    def _report_outage(self, now: float, cause: Exception) -> None:
        if not self.is_down:
            self.is_down = True
            self._post(EndpointUpdateFailed())
        if not self._outage_logged and now >= self._next_outage_log_at:
            self._outage_logged = True
            self._next_outage_log_at = now + OUTAGE_LOG_INTERVAL_MS
            fields: dict[str, Any] = {"cause": f"{type(cause).__name__}: {cause}"[:MAX_LOGGED_CAUSE_CHARS]}
            if isinstance(cause, InvalidInputError):
                fields["remedy"] = cause.remedy
            self._log(LogEvent("discovery down", fields, logging.WARNING))

    def _stale_in_ms(self) -> float | None:
        """Returns the shortest time of any watch until the list may be stale; None if it cannot be."""
        now = self.transport.clock()
        times = [tracker.stale_in_ms(now) for tracker in self.watches.values()]
        return min((time_ms for time_ms in times if time_ms is not None), default=None)

    def _schedule_staleness(self) -> None:
        """Sets the timer that reports the list as stale to when it may become so."""
        if self._stale_timer is not None:
            self._stale_timer.cancel()
            self._stale_timer = None
        stale_in_ms = self._stale_in_ms()
        if stale_in_ms is not None and not self.is_stale:
            loop = asyncio.get_running_loop()
            self._stale_timer = loop.call_later(stale_in_ms / MS_PER_SECOND, self._on_stale)

    def _on_stale(self) -> None:
        self.is_stale = True
        self._log(LogEvent("endpoints may be stale", {"generation": self.generation}, logging.WARNING))
        self._post(EndpointUpdateFailed(stale=True))
