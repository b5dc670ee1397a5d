"""Decides when a watch polls the endpoint list again, and from when on the node's list may be stale.

No I/O: times come in and durations go out, both in milliseconds. The bounds are the discovery protocol's.
A poll that is not answered in time is followed by another one on a new connection. Whether or not its polls
were answered, a node is expected to act on a change 6 s after discovery had it and could be reached; 2 s
after the end of its long poll, if that is later; 4 s after SIGHUP has named another agent.

Endpoints are either pushed to an agent on this machine, which answers at once and serves no other node, or
polled from a discovery service that all nodes share, where an abandoned poll is wasted work for the service.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

STALE_AFTER_MS = 6000.0  # after the start of an unanswered poll, which may have missed a change
STALE_AFTER_LONG_POLL_MS = 2000.0  # after the end of a long poll, if that is later
STALE_AFTER_RELOAD_MS = 4000.0  # in place of 6 s, if SIGHUP has just named the agent
ANSWER_TIMEOUT_MS = 2000.0  # after which a shared discovery itself abandons a poll
RETRY_PAUSE_MS = 100.0  # before the next poll; with jitter below the 200 ms that discovery is assumed to wait
AGENT_ANSWER_MARGIN_MS = 250.0  # past the end of a long poll, which an agent answers at once
AGENT_LONG_POLL_MS = 1000.0  # how long an agent may hold a poll open while nothing changes
# Two answers and the pause between them fit into STALE_AFTER_MS.
SHARED_LONG_POLL_MS = STALE_AFTER_MS - 2.0 * ANSWER_TIMEOUT_MS - 2.0 * RETRY_PAUSE_MS
SHARED_RECONNECT_LONG_POLL_MS = 400.0  # after a failure, as the list may become stale meanwhile
AGENT_BACKOFF_MIN_MS = 200.0  # longest pause after an agent's first overloaded answer; doubles
AGENT_BACKOFF_MAX_MS = 1000.0
IMMEDIATE_LONG_POLL_MS = 1.0  # of a poll that is to be answered at once

PAUSE_JITTER_MIN = 0.5  # times RETRY_PAUSE_MS
PAUSE_JITTER_MAX = 1.25
MAX_OPEN_AGENT_POLLS = 3  # the oldest, whose answer may only be late, and the newest two
MAX_OPEN_SHARED_POLLS = 1


class PollFailure(Enum):
    """How a poll failed."""

    TIMEOUT = "timeout"  # no answer in time; if on a new connection too, discovery is down
    UNREACHABLE = "unreachable"  # no connection: no discovery was reached that could know of a change
    CONNECTION_CLOSED = "connection closed"  # before the first byte of an answer
    MALFORMED_ANSWER = "malformed answer"  # or a truncated one: its sender may know of a change
    OVERLOADED = "overloaded"  # a status other than 200, as with more polls than it can answer
    LOCAL_RESOURCES = "local resources"  # this node could not open a connection; discovery may well be up


class StalenessTracker:
    """Times the polls of one watch and returns from when on the node's endpoint list may be stale.

    Attributes:
        reconnecting: the current poll is the first one on its connection.
    """

    def __init__(self, rng: Random, *, shared: bool = False) -> None:
        """Creates the tracker of a watch that has not polled yet.

        Args:
            rng: for the jitter of pauses.
            shared: the discovery service itself is polled, in place of an agent that lists are pushed to.
        """
        self.reconnecting = True
        self._rng = rng
        self._shared = shared
        self._backoff_ms = AGENT_BACKOFF_MIN_MS
        self._polled_at = 0.0
        self._first_poll = True
        self._timed_out = False  # whether the last poll did
        self._consecutive_closes = 0
        self._stale_after_ms = STALE_AFTER_MS
        self._may_miss_changes = False  # a discovery that was reached may know of one
        # Time from which on this node should know the changes that it missed since the last answer.
        self._stale_at: float | None = None

    def long_poll_ms(self) -> float:
        """Returns how long discovery may hold the next poll open.

        The first one is to be answered at once, with whatever is newer than the list in the node's file. So
        is each one on a new connection to an agent.
        """
        if self._first_poll or (self.reconnecting and not self._shared):
            return IMMEDIATE_LONG_POLL_MS
        if self._shared:
            return SHARED_RECONNECT_LONG_POLL_MS if self.reconnecting else SHARED_LONG_POLL_MS
        return AGENT_LONG_POLL_MS

    @property
    def max_open_polls(self) -> int:
        """How many polls may be open at a time."""
        return MAX_OPEN_SHARED_POLLS if self._shared else MAX_OPEN_AGENT_POLLS

    def on_poll_started(self, now: float, long_poll_ms: float, *, after_move: bool = False) -> float:
        """Returns the time until the next poll, if this one has no answer by then.

        Args:
            now: the current time.
            long_poll_ms: how long discovery may hold this poll open.
            after_move: it goes to the agent that a SIGHUP has just named.
        """
        if after_move:
            self._stale_after_ms = STALE_AFTER_RELOAD_MS
        else:
            self._stale_after_ms = max(STALE_AFTER_MS, long_poll_ms + STALE_AFTER_LONG_POLL_MS)
        self._polled_at = now
        self._first_poll = False
        if self._stale_at is None:
            self._stale_at = now + self._stale_after_ms
        if self._shared:
            return self._stale_after_ms - ANSWER_TIMEOUT_MS - RETRY_PAUSE_MS * PAUSE_JITTER_MAX
        return self.retry_pause_ms() if self._timed_out else long_poll_ms + AGENT_ANSWER_MARGIN_MS

    def retry_pause_ms(self) -> float:
        """Returns a pause before the next poll, with jitter, so that nodes do not poll in step."""
        return RETRY_PAUSE_MS * self._rng.uniform(PAUSE_JITTER_MIN, PAUSE_JITTER_MAX)

    def on_poll_answered(self) -> None:
        """Resets all failures: the list is as discovery holds it."""
        self._backoff_ms = AGENT_BACKOFF_MIN_MS
        self._timed_out = False
        self.reconnecting = False
        self._stale_at = None
        self.ignore_missed_changes()

    def on_poll_failed(self, now: float, failure: PollFailure, polled_at: float | None = None) -> float:
        """Returns the time until the next poll.

        Args:
            now: the current time.
            failure: how the poll failed.
            polled_at: when the failed poll started, if it was not the last one.
        """
        self.reconnecting = True
        self._timed_out = failure is PollFailure.TIMEOUT
        if failure is PollFailure.TIMEOUT:
            self._on_unreachable(self._polled_at)
            return self.retry_pause_ms() if self._shared else 0.0
        if failure is PollFailure.UNREACHABLE:
            self._on_unreachable(now)
            return self.retry_pause_ms()
        if self._stale_at is None or polled_at is None:
            polled_at = self._polled_at
        self._stale_at = min(polled_at + self._stale_after_ms, self._stale_at or now + self._stale_after_ms)
        if failure is PollFailure.CONNECTION_CLOSED:
            self._consecutive_closes += 1
            return self.retry_pause_ms()
        self._may_miss_changes = True
        if failure is PollFailure.OVERLOADED:
            return self._overload_backoff_ms(now, self._stale_at)
        return self.retry_pause_ms()

    def ignore_missed_changes(self) -> None:
        """Drops the suspicion that a failed poll has missed a change."""
        self._may_miss_changes = False
        self._consecutive_closes = 0

    def stale_in_ms(self, now: float) -> float | None:
        """Returns the time until the list may be stale; None if no poll can have missed a change."""
        # One closed connection may be the start of an outage. Two, if discovery was never unreachable in
        # between, were closed by a discovery that is up and may know of a change.
        if self._stale_at is None or not (self._may_miss_changes or self._consecutive_closes > 1):
            return None
        return max(0.0, self._stale_at - now)

    def _on_unreachable(self, since: float) -> None:
        """Restarts the staleness timeout at `since`, unless a discovery reached before may know of a change.

        A discovery that cannot be reached has no changes that this node has to know.
        """
        if not self._may_miss_changes:
            self._stale_at = since + self._stale_after_ms
            self._consecutive_closes = 0

    def _overload_backoff_ms(self, now: float, stale_at: float) -> float:
        if not self._shared:
            backoff_ms = self._backoff_ms
            self._backoff_ms = min(AGENT_BACKOFF_MAX_MS, 2.0 * self._backoff_ms)
            return self._rng.uniform(RETRY_PAUSE_MS, backoff_ms)
        # Nodes that poll in step would go on being rejected. The answer has to arrive before the list may be
        # stale or, if it is too late for that, within STALE_AFTER_MS of the last poll.
        left_ms = stale_at - ANSWER_TIMEOUT_MS - now
        if left_ms <= RETRY_PAUSE_MS:
            left_ms = max(ANSWER_TIMEOUT_MS / 2.0, self._polled_at + STALE_AFTER_MS - ANSWER_TIMEOUT_MS - now)
        return self._rng.uniform(RETRY_PAUSE_MS, left_ms)
