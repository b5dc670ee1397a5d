"""I/O of a forwarder: connections to planners, and the timer; the decisions are in `LeaseCache`."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from functools import partial
from typing import TYPE_CHECKING

from onyxpost.cluster.errors import MalformedFrameError
from onyxpost.cluster.frames import has_buffer_space
from onyxpost.cluster.reconnect import reconnect_forever
from onyxpost.forwarder.errors import PlannerUnavailableError
from onyxpost.forwarder.lease_cache import LeaseCache
from onyxpost.forwarder.lease_requester import ANSWER_TIMEOUT_MS
from onyxpost.planner import protocol
from onyxpost.planner.errors import SlowReaderError
from onyxpost.runtime.http1 import READ_CHUNK_BYTES
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.core.events import LeaseGranted, LeaseRevoked
    from onyxpost.edge.messages import RecordUnitsSpent, ReturnLease
    from onyxpost.errors import OperatorError
    from onyxpost.runtime.transport import Transport

TICK_SECONDS = 0.05
RECONNECT_DELAY_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 1.0  # limit on connecting, and again on waiting for the welcome
STATISTICS_INTERVAL_MS = 10_000.0
MAX_RETURN_POLLS = 10  # number of times that `stop` checks whether all leases are returned
POLL_SECONDS = 0.01
CLOSE_TIMEOUT_SECONDS = 0.2  # limit on waiting until planners have read all and closed


class PlannerClient:
    """Keeps one connection to each planner of the membership; no client request waits for a planner."""

    def __init__(
        self,
        transport: Transport,
        forwarder: str,
        members: dict[str, Address],
        membership_version: int,
        post_event: Callable[[LeaseGranted | LeaseRevoked], None],
        log: Callable[[LogEvent], None],
    ) -> None:
        self.transport = transport
        self.members = dict(members)
        self.post_event = post_event
        self.log = log
        self.cache = LeaseCache(forwarder, list(members), membership_version)
        self.writers: dict[str, asyncio.StreamWriter] = {}  # by planner
        self._connection_tasks: dict[str, asyncio.Task[None]] = {}  # by planner
        self._tick_task: asyncio.Task[None] | None = None
        self._is_stopping = False
        self._is_sending_closed = False

    @property
    def membership_version(self) -> int:
        """The membership version that this forwarder follows."""
        return self.cache.membership_version

    def start(self) -> None:
        """Starts the timer and the connections to all planners."""
        self._tick_task = asyncio.get_running_loop().create_task(self._run_ticks())
        self._start_connections()

    def _start_connections(self) -> None:
        for planner in self.members:
            if planner not in self._connection_tasks:  # a reload before `start` may have started it
                self._connection_tasks[planner] = self._keep_connected(planner)

    def record_units_spent(self, effect: RecordUnitsSpent) -> None:
        """Counts units that a client request consumed or lacked; may send a lease request."""
        self.cache.record_units_spent(
            self.transport.clock(), effect.customer, effect.plan, effect.units, effect.lease_id
        )
        self._deliver()

    def return_lease(self, effect: ReturnLease) -> None:
        """Returns a lease that the policy no longer uses to its planner."""
        self.cache.return_lease(effect.lease_id, effect.units)
        self._deliver()

    def _deliver(self) -> None:
        """Sends the cache's messages and posts its events without waiting; a slow planner is disconnected."""
        output = self.cache.take_output()
        for planner, message in output.messages:
            writer = self.writers.get(planner)
            if writer is None or self._is_sending_closed:
                continue
            writer.write(protocol.encode_frame(message))
            if not has_buffer_space(writer, 0):
                self._abort_connection(
                    planner, SlowReaderError("planner does not read its messages; the send buffer is full")
                )
        for event in output.lease_events:
            self.post_event(event)

    def _abort_connection(self, planner: str, error: OperatorError) -> None:
        fields = {"planner": planner, **error.log_fields()}
        self.log(LogEvent("planner connection aborted", fields, logging.WARNING))
        writer = self.writers.pop(planner, None)
        if writer is not None:
            writer.transport.abort()

    async def _run_ticks(self) -> None:
        logged_at_ms = self.transport.clock()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now_ms = self.transport.clock()
            self.cache.tick(now_ms)
            self._deliver()
            for planner in self.cache.unresponsive_planners(now_ms) & self.writers.keys():
                error = PlannerUnavailableError(
                    f"no answer to a lease request, nor any other message, for {ANSWER_TIMEOUT_MS:.0f} ms"
                )
                self._abort_connection(planner, error)
            if now_ms - logged_at_ms >= STATISTICS_INTERVAL_MS:
                logged_at_ms = now_ms
                self.log(LogEvent("lease statistics", dict(self.cache.statistics())))

    # Connections

    def _keep_connected(self, planner: str) -> asyncio.Task[None]:
        is_failure_logged = False

        def on_connection_end(error: Exception | None) -> float:
            """Logs the first of several failures in a row; returns the reconnect delay in seconds."""
            nonlocal is_failure_logged
            if error is not None and not is_failure_logged and not self._is_stopping:
                self._log_disconnect(planner, error)
            is_failure_logged = planner not in self.cache.sessions.epochs
            self.cache.handle_disconnected(planner)
            self.writers.pop(planner, None)
            return RECONNECT_DELAY_SECONDS

        connecting = reconnect_forever(partial(self._run_connection, planner), on_connection_end)
        return asyncio.get_running_loop().create_task(connecting)

    def _log_disconnect(self, planner: str, error: Exception) -> None:
        """Logs the end of a connection, or that none could be established; the event is the same."""
        if not isinstance(error, MalformedFrameError):
            error = PlannerUnavailableError(f"{type(error).__name__}: {error}")
        self.log(
            LogEvent("planner disconnected", {"planner": planner, **error.log_fields()}, logging.WARNING)
        )

    async def _run_connection(self, planner: str) -> None:
        """Connects and handles messages until an error ends the connection."""
        if self._is_stopping:
            return
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer, *_ = await self.transport.dial(self.members[planner], READ_CHUNK_BYTES)
        try:
            writer.write(protocol.encode_frame(self.cache.build_hello(self.transport.clock())))
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                welcome = await protocol.read_planner_message(reader)
            if not isinstance(welcome, protocol.Welcome) or welcome.protocol != protocol.PROTOCOL_VERSION:
                raise MalformedFrameError(
                    f"first message is not a welcome of protocol version {protocol.PROTOCOL_VERSION},"
                    f" got {type(welcome).__name__}"
                )
            self.writers[planner] = writer
            self.cache.handle_connected(self.transport.clock(), planner, welcome)
            fields = {"planner": planner, "epoch": welcome.epoch, "version": welcome.membership_version}
            self.log(LogEvent("planner connected", fields))
            while True:
                message = await protocol.read_planner_message(reader)
                self.cache.handle_message(self.transport.clock(), planner, message)
                self._deliver()
        finally:
            writer.transport.abort()

    def update_membership(self, members: dict[str, Address], membership_version: int) -> bool:
        """Follows the membership of a reloaded file; returns False for an earlier or equal version.

        After `stop` no membership is followed, and the result is False.
        """
        if membership_version <= self.cache.membership_version or self._is_stopping:
            return False
        changed = [name for name in self._connection_tasks if members.get(name) != self.members.get(name)]
        for planner in changed:
            self._connection_tasks.pop(planner).cancel()
            self.cache.handle_disconnected(planner)
            self.writers.pop(planner, None)
        self.members = dict(members)
        self.cache.update_membership(list(members), membership_version)
        self._start_connections()
        return True

    # End

    async def stop(self) -> None:
        """Returns all leases, and waits for at most 0.3 s until the planners have read the returns.

        Each connection is closed for writing only, until its planner closes it. Closing a socket with unread
        received bytes, such as a late grant, would reset the connection and drop the last messages.
        """
        self._is_stopping = True
        self.cache.stop()
        self._deliver()
        for _ in range(MAX_RETURN_POLLS):
            if self.cache.has_returned_all():
                break
            await asyncio.sleep(POLL_SECONDS)
        self._deliver()
        self._is_sending_closed = True
        for writer in self.writers.values():
            with contextlib.suppress(OSError):
                writer.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                while self.writers:  # noqa: ASYNC110 - limited by the timeout, and only once per process
                    await asyncio.sleep(POLL_SECONDS)

    def close(self) -> None:
        """Ends the timer and all connections without waiting."""
        for task in [self._tick_task, *self._connection_tasks.values()]:
            if task is not None:
                task.cancel()
