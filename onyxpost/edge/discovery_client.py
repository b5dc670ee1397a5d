"""Watches the endpoint list of a discovery agent or service and posts its changes as events."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.edge.discovery_address import AddressChoice
from onyxpost.edge.discovery_watch import DiscoveryWatch
from onyxpost.edge.messages import EdgeEvent, EndpointUpdate, EndpointUpdateFailed
from onyxpost.edge.poll_schedule import PollFailure, PollSchedule
from onyxpost.errors import InvalidInputError
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.edge.discovery_watch import WatchAnswered, WatchFailed
    from onyxpost.runtime.transport import Transport

# Minimum time between two log lines about outages. An agent that alternates between answers and resets would
# otherwise cause ten lines a second.
OUTAGE_LOG_INTERVAL_MS = 1000.0
MAX_LOGGED_CAUSE_CHARS = 200  # limits the logged text of an error, which may quote an answer


@dataclass(frozen=True, slots=True)
class DiscoveryOptions:
    """Where discovery is, and how it is polled.

    Attributes:
        address: the address of discovery.
        alternative_address: a second address that discovery may have, until one of the two has answered.
        generation: the generation of the endpoints in the node's file.
        seed: the seed of the jitter between polls.
        is_shared_service: True if the node polls the discovery service, which all nodes share; False if it
            polls an agent, which the service pushes lists to.
    """

    address: Address
    alternative_address: Address | None = None
    generation: int = 0
    seed: int = 0
    is_shared_service: bool = False


class DiscoveryClient:
    """Watches discovery's endpoint list and posts updates, outages and staleness as events.

    Attributes:
        generation: the generation of the endpoints that this node has.
        is_down: whether a poll of `address` has failed and none has been answered since.
        is_stale: whether the endpoint list may be stale; see `onyxpost.edge.poll_schedule`.
        watches: each running watch by its task, oldest first. After a change of address, the watch on the
            old address continues until the new address has answered.
    """

    def __init__(
        self,
        transport: Transport,
        options: DiscoveryOptions,
        post_event: Callable[[EdgeEvent], None],
        log: Callable[[LogEvent], None],
    ) -> None:
        """Creates a client without starting a watch.

        Args:
            transport: the node's transport.
            options: where discovery is, and how it is polled.
            post_event: receives the events.
            log: receives the log events.
        """
        self.generation = options.generation
        self.is_down = False
        self.is_stale = False
        self.watches: dict[asyncio.Task[None], DiscoveryWatch] = {}
        self._transport = transport
        # The addresses of the newest watch.
        self._addresses = AddressChoice(options.address, options.alternative_address)
        self._post_event = post_event
        self._log = log
        self._rng = Random(options.seed)
        self._is_shared = options.is_shared_service
        self._is_outage_logged = False
        self._next_outage_log_at = 0.0  # earliest time of the next outage log line, ms
        self._stale_timer: asyncio.TimerHandle | None = None
        # Set once a poll was answered, or failed other than by a timeout.
        self._first_poll_finished = asyncio.Event()

    @property
    def address(self) -> Address:
        """The address that the newest watch polls next."""
        return self._addresses.address

    @property
    def alternative_address(self) -> Address | None:
        """The second address that discovery may have; None once one of the two has answered."""
        return self._addresses.alternative

    def start(self) -> None:
        """Starts a watch, unless one is running."""
        if not self.watches:
            self.start_watch()

    async def wait_for_first_answer(self, timeout_ms: float) -> None:
        """Waits until a poll was answered, or failed other than by a timeout, but at most `timeout_ms`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await self._first_poll_finished.wait()

    def change_address(self, address: Address) -> None:
        """Starts a watch on another address.

        The oldest watch continues until the new address has answered, so that no change is missed meanwhile.
        Watches on other addresses that have not answered yet are cancelled.
        """
        self._addresses.forget_alternative()
        if address == self.address:
            return
        self._addresses = AddressChoice(address)
        if self.watches:
            for task in list(self.watches)[1:]:
                self._cancel_watch(task)
            self.start_watch(is_after_move=True)
            self._schedule_staleness()

    def start_watch(self, *, is_after_move: bool = False) -> None:
        """Starts a watch.

        Args:
            is_after_move: whether a reload has just set the address.
        """
        schedule = PollSchedule(self._rng, is_shared_service=self._is_shared)
        watch = DiscoveryWatch(self._transport, self, self._addresses, schedule, is_after_move=is_after_move)
        self.watches[asyncio.get_running_loop().create_task(watch.run())] = watch

    def close(self) -> None:
        """Cancels all watches."""
        if self._stale_timer is not None:
            self._stale_timer.cancel()
        for task in self.watches:
            task.cancel()

    # Implementation of `WatchListener`

    def on_watch_failed(self, failed: WatchFailed) -> None:
        """Reports an outage, and updates the time at which the list may become stale."""
        if failed.failure is not PollFailure.TIMEOUT:
            self._first_poll_finished.set()
        if failed.address == self.address:
            self._report_outage(failed.cause)
        else:
            failed.watch.schedule.ignore_missed_changes()  # only the current address decides on staleness
        self._schedule_staleness()

    def on_watch_answered(self, answered: WatchAnswered) -> None:
        """Applies an answer, and cancels the watches that are older than the one that was answered."""
        self._cancel_older_watches(answered.watch)
        update = answered.update
        if answered.address == self.address:  # the old address cannot end an outage of the new one
            self._end_outage(update.generation)
        if answered.is_after_move:
            # `held` is the generation of the list that this node has.
            fields = {"generation": update.generation, "held": self.generation}
            self._log(LogEvent("discovery moved", fields))
        if update.generation < self.generation and (answered.is_after_move or not update.is_complete):
            # The answer is older than this node's list, so it is replaced by an update without changes, and
            # discovery is expected to catch up. A complete list that was not requested is accepted, as it
            # shows that discovery has restarted.
            update = EndpointUpdate(self.generation, is_complete=False, endpoints=[], addresses={})
        self.generation = update.generation
        was_stale = self.is_stale
        self.is_stale = self.is_stale and self._stale_in_ms() == 0.0  # a newer watch may still be stale
        self._schedule_staleness()
        self._first_poll_finished.set()
        if update.endpoints or update.is_complete or was_stale != self.is_stale:
            self._post_event(update)
            if self.is_stale:
                self._post_event(
                    EndpointUpdateFailed(is_stale=True)
                )  # the update alone would clear the staleness

    def _cancel_older_watches(self, answered: DiscoveryWatch) -> None:
        for task, watch in list(self.watches.items()):
            if watch is answered:
                break
            self._cancel_watch(task)

    def _cancel_watch(self, task: asyncio.Task[None]) -> None:
        task.cancel()
        del self.watches[task]

    def _report_outage(self, cause: Exception) -> None:
        now = self._transport.clock()
        if not self.is_down:
            self.is_down = True
            self._post_event(EndpointUpdateFailed())
        if not self._is_outage_logged and now >= self._next_outage_log_at:
            self._is_outage_logged = True
            self._next_outage_log_at = now + OUTAGE_LOG_INTERVAL_MS
            fields: dict[str, Any] = {"cause": f"{type(cause).__name__}: {cause}"[:MAX_LOGGED_CAUSE_CHARS]}
            if isinstance(cause, InvalidInputError):
                fields["remedy"] = cause.remedy
            self._log(LogEvent("discovery down", fields, logging.WARNING))

    def _end_outage(self, generation: int) -> None:
        if self._is_outage_logged:
            self._log(LogEvent("discovery up", {"generation": generation}))
        self.is_down = False
        self._is_outage_logged = False

    def _stale_in_ms(self) -> float | None:
        """Returns the time until any watch considers the list stale; None if no watch will."""
        now = self._transport.clock()
        times = [watch.schedule.stale_in_ms(now) for watch in self.watches.values()]
        return min((time_ms for time_ms in times if time_ms is not None), default=None)

    def _schedule_staleness(self) -> None:
        """Restarts the timer that reports the list as stale, if a watch can become stale."""
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
        self._post_event(EndpointUpdateFailed(is_stale=True))
