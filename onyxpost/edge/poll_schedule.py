"""Decides when a watch sends its next poll, and when the endpoint list of a node may be stale.

There is no I/O here. The arguments are times and the results durations, both in milliseconds. A poll that is
not answered in time is followed by another one on a new connection.

The discovery protocol limits the time within which a node has to act on a change. The limit is 6 s, which
begin once discovery has the change and can be reached. If the node's long poll ends more than 4 s after that,
the limit is 2 s after the end of the long poll. After SIGHUP has set the address of another agent, the limit
is 4 s. The limits hold even if polls are not answered.

An agent on this machine, to which the lists are pushed, answers at once and serves no other node. A discovery
service is shared by all nodes, and each abandoned poll is wasted work for the service.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

STALE_AFTER_MS = 6000.0  # from the start of an unanswered poll, which may have missed a change
STALE_AFTER_LONG_POLL_MS = 2000.0  # from the end of a long poll; applies if it is later
STALE_AFTER_RELOAD_MS = 4000.0  # replaces the 6 s if SIGHUP has just set the address
ANSWER_TIMEOUT_MS = 2000.0  # a shared discovery service itself abandons a poll after this time
# Pause before a poll is retried, without jitter. With jitter it stays below the 200 ms for which discovery is
# assumed to remember a node that has no open poll.
RETRY_PAUSE_MS = 100.0
AGENT_ANSWER_MARGIN_MS = 250.0  # time for an agent's answer after the end of a long poll
AGENT_LONG_POLL_MS = 1000.0  # how long an agent may hold a poll open while nothing changes
# The long poll, two answers and two pauses without jitter take STALE_AFTER_MS; the highest jitter adds 50 ms.
SHARED_LONG_POLL_MS = STALE_AFTER_MS - 2.0 * ANSWER_TIMEOUT_MS - 2.0 * RETRY_PAUSE_MS
SHARED_RECONNECT_LONG_POLL_MS = 400.0  # used after a failure, as the list may become stale meanwhile
# Upper bound of the pause after an agent's first overloaded answer; doubles with each further one, up to
# AGENT_BACKOFF_MAX_MS.
AGENT_FIRST_MAX_BACKOFF_MS = 200.0
AGENT_BACKOFF_MAX_MS = 1000.0
IMMEDIATE_LONG_POLL_MS = 1.0  # requests an immediate answer

PAUSE_JITTER_MIN = 0.5  # lowest factor on RETRY_PAUSE_MS
PAUSE_JITTER_MAX = 1.25  # highest factor on RETRY_PAUSE_MS
MAX_OPEN_AGENT_POLLS = 3  # the oldest, as its answer may only be late, and the two newest
MAX_OPEN_SHARED_POLLS = 1  # each abandoned poll is wasted work for the service


class PollFailure(Enum):
    """The kind of failure of a poll."""

    TIMEOUT = "timeout"  # no answer in time; on a new connection, this means an outage
    UNREACHABLE = "unreachable"  # no connection, so this failure cannot have hidden a change
    CONNECTION_CLOSED = "connection closed"  # closed before the first byte of an answer
    MALFORMED_ANSWER = "malformed answer"  # malformed or truncated; the sender may have a change
    OVERLOADED = "overloaded"  # any status other than 200; discovery sends one when it has no capacity
    LOCAL_RESOURCES = "local resources"  # this node could not open a connection; discovery may be up


class PollSchedule:
    """Schedules the polls of one watch, and determines when the endpoint list of the node may be stale.

    Attributes:
        is_reconnecting: whether the next or current poll is the first one on its connection.
    """

    def __init__(self, rng: Random, *, is_shared_service: bool = False) -> None:
        """Creates the schedule of a watch that has not sent a poll.

        Args:
            rng: source of the jitter of pauses.
            is_shared_service: True if the node polls the discovery service, which all nodes share; False if
                it polls an agent, which the service pushes lists to.
        """
        self.is_reconnecting = True
        self._rng = rng
        self._is_shared = is_shared_service
        self._backoff_ms = AGENT_FIRST_MAX_BACKOFF_MS
        self._polled_at = 0.0
        self._is_first_poll = True
        self._has_timed_out = False  # whether the last poll timed out
        self._consecutive_closes = 0
        self._stale_after_ms = STALE_AFTER_MS
        # Whether discovery was up while a poll failed, so that it may have had a change.
        self._may_have_missed_changes = False
        # Time by which this node has to know all changes since the last answer; None right after an answer.
        self._stale_at: float | None = None

    def long_poll_ms(self) -> float:
        """Returns how long discovery may hold the next poll open.

        The first poll requests an immediate answer, with all changes since the list in the node's file. So
        does each poll on a new connection to an agent.
        """
        if self._is_first_poll or (self.is_reconnecting and not self._is_shared):
            return IMMEDIATE_LONG_POLL_MS
        if self._is_shared:
            return SHARED_RECONNECT_LONG_POLL_MS if self.is_reconnecting else SHARED_LONG_POLL_MS
        return AGENT_LONG_POLL_MS

    @property
    def max_open_polls(self) -> int:
        """The maximum number of polls that are open at the same time."""
        return MAX_OPEN_SHARED_POLLS if self._is_shared else MAX_OPEN_AGENT_POLLS

    def on_poll_started(self, now: float, long_poll_ms: float, *, is_after_move: bool = False) -> float:
        """Records the start of a poll and returns how long to wait for its answer before the next poll.

        Args:
            now: the current time.
            long_poll_ms: how long discovery may hold this poll open.
            is_after_move: whether SIGHUP has just set the address that is polled.
        """
        if is_after_move:
            self._stale_after_ms = STALE_AFTER_RELOAD_MS
        else:
            self._stale_after_ms = max(STALE_AFTER_MS, long_poll_ms + STALE_AFTER_LONG_POLL_MS)
        self._polled_at = now
        self._is_first_poll = False
        if self._stale_at is None:
            self._stale_at = now + self._stale_after_ms
        if self._is_shared:
            return self._stale_after_ms - ANSWER_TIMEOUT_MS - RETRY_PAUSE_MS * PAUSE_JITTER_MAX
        return self.retry_pause_ms() if self._has_timed_out else long_poll_ms + AGENT_ANSWER_MARGIN_MS

    def retry_pause_ms(self) -> float:
        """Returns a pause before the next poll, with jitter so that nodes do not poll simultaneously."""
        return RETRY_PAUSE_MS * self._rng.uniform(PAUSE_JITTER_MIN, PAUSE_JITTER_MAX)

    def on_poll_answered(self) -> None:
        """Resets all failures, as the list is now the one that discovery has."""
        self._backoff_ms = AGENT_FIRST_MAX_BACKOFF_MS
        self._has_timed_out = False
        self.is_reconnecting = False
        self._stale_at = None
        self.ignore_missed_changes()

    def on_poll_failed(self, now: float, failure: PollFailure, polled_at: float | None = None) -> float:
        """Records a failed poll and returns the time until the next poll.

        Args:
            now: the current time.
            failure: the kind of failure.
            polled_at: when the failed poll started; None for the latest poll.
        """
        self.is_reconnecting = True
        self._has_timed_out = failure is PollFailure.TIMEOUT
        if failure is PollFailure.TIMEOUT:
            self._on_unreachable(self._polled_at)
            return self.retry_pause_ms() if self._is_shared else 0.0
        if failure is PollFailure.UNREACHABLE:
            self._on_unreachable(now)
            return self.retry_pause_ms()
        if self._stale_at is None or polled_at is None:
            polled_at = self._polled_at
        self._stale_at = min(polled_at + self._stale_after_ms, self._stale_at or now + self._stale_after_ms)
        if failure is PollFailure.CONNECTION_CLOSED:
            self._consecutive_closes += 1
            return self.retry_pause_ms()
        self._may_have_missed_changes = True
        if failure is PollFailure.OVERLOADED:
            return self._overload_backoff_ms(now, self._stale_at)
        return self.retry_pause_ms()

    def ignore_missed_changes(self) -> None:
        """Assumes from now on that no earlier failed poll has missed a change."""
        self._may_have_missed_changes = False
        self._consecutive_closes = 0

    def stale_in_ms(self, now: float) -> float | None:
        """Returns the time until the list may be stale; None if no failed poll can have missed a change."""
        # One closed connection may be the start of an outage. After two, without discovery being unreachable
        # in between, discovery is up and may have a change.
        if self._stale_at is None or not (self._may_have_missed_changes or self._consecutive_closes > 1):
            return None
        return max(0.0, self._stale_at - now)

    def _on_unreachable(self, since: float) -> None:
        """Restarts the staleness timeout at `since`, unless a change may have been missed before.

        While discovery cannot be reached, a node does not have to act on its changes.
        """
        if not self._may_have_missed_changes:
            self._stale_at = since + self._stale_after_ms
            self._consecutive_closes = 0

    def _overload_backoff_ms(self, now: float, stale_at: float) -> float:
        if not self._is_shared:
            backoff_ms = self._backoff_ms
            self._backoff_ms = min(AGENT_BACKOFF_MAX_MS, 2.0 * self._backoff_ms)
            return self._rng.uniform(RETRY_PAUSE_MS, backoff_ms)
        # Nodes that poll simultaneously would be rejected again, so the pause is random over the time left.
        # The answer has to arrive before the list may be stale or, if it is too late for that, within
        # STALE_AFTER_MS of the last poll.
        left_ms = stale_at - ANSWER_TIMEOUT_MS - now
        if left_ms <= RETRY_PAUSE_MS:
            left_ms = max(ANSWER_TIMEOUT_MS / 2.0, self._polled_at + STALE_AFTER_MS - ANSWER_TIMEOUT_MS - now)
        return self._rng.uniform(RETRY_PAUSE_MS, left_ms)
