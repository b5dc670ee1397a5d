"""Failure detector for one peer. No I/O and no clock: time is an argument, and state changes are returned.

A state tells how the peer can be reached from this node, not whether its process runs. A silent or gone
peer may still be running and act as a leader; only a lease with a fencing token prevents that.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from onyxpost.cluster.heartbeat_timing import HEARTBEAT_INTERVAL_MS

# A busy connection is pinged at this interval to measure its round trip, although its messages show that the
# peer is live.
MAX_PING_INTERVAL_MS = 4 * HEARTBEAT_INTERVAL_MS
# Three intervals, so that a peer does not become silent after one missing and one late heartbeat.
SILENT_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS
GONE_TIMEOUT_MS = 6 * HEARTBEAT_INTERVAL_MS  # ends the connection; TCP alone would take minutes to do so
# About a hundred times the round trip within one site; an overloaded peer exceeds it.
SLOW_ROUND_TRIP_MS = HEARTBEAT_INTERVAL_MS / 2
PONG_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS  # a peer that leaves a ping unanswered for longer is slow
ROUND_TRIP_GAIN = 1.0 / 8.0  # weight of a new sample, as in TCP's smoothed round-trip time (RFC 6298)


class PeerState(Enum):
    """How a peer can be reached from this node. The values are used in log lines and statistics."""

    LIVE = "live"
    SLOW = "slow"  # messages arrive, but pings are answered late
    SILENT = "silent"  # connected, but no message arrives
    GONE = "gone"  # not connected


class PeerStateChange(NamedTuple):
    """A change of a peer's state, for the log."""

    peer: str
    previous: PeerState
    current: PeerState
    previous_duration_ms: float
    round_trip_ms: float  # 0 if not measured
    reason: str


class CheckResult(NamedTuple):
    """The actions that follow from the periodic check of a peer; None means no action."""

    ping_number: int | None = None  # send a ping with this number
    abort_reason: str | None = None  # abort the connection for this reason
    change: PeerStateChange | None = None  # log this change


class PeerFailureDetector:
    """Tracks the state of one peer by the messages and pongs received from it."""

    def __init__(self, name: str, now_ms: float) -> None:
        self.name = name
        self.state = PeerState.GONE
        self.state_since_ms = now_ms
        # Whether a change to GONE has been returned. A peer starts as GONE; that change is returned later,
        # when the first dial fails or `GONE_TIMEOUT_MS` passes without a connection.
        self.is_gone_reported = False
        self.last_check_at_ms = now_ms
        self.last_message_at_ms = now_ms
        self.last_ping_at_ms = now_ms
        self.last_ping_number = 0
        self.awaited_pong: int | None = None
        self.round_trip_ms = 0.0  # smoothed; 0 if not measured

    def on_connected(self, now_ms: float) -> PeerStateChange | None:
        """Enters LIVE and restarts all timers: a connection was established."""
        self.last_message_at_ms = now_ms
        self.last_ping_at_ms = now_ms
        self.last_check_at_ms = now_ms
        self.awaited_pong = None
        self.round_trip_ms = 0.0
        return self._change_state(now_ms, PeerState.LIVE, "connected")

    def on_disconnected(self, now_ms: float, reason: str) -> PeerStateChange | None:
        """Enters GONE: the connection ended, or none could be established."""
        self.awaited_pong = None
        if self.state is PeerState.GONE and not self.is_gone_reported:
            self.is_gone_reported = True
            duration_ms = now_ms - self.state_since_ms
            return PeerStateChange(self.name, self.state, self.state, duration_ms, 0.0, reason)
        return self._change_state(now_ms, PeerState.GONE, reason)

    def on_message(self, now_ms: float) -> None:
        """Restarts the timeouts of the states silent and gone: a message of any type was received."""
        self.last_message_at_ms = now_ms

    def on_pong(self, now_ms: float, number: int) -> None:
        """Updates the round trip by a pong; ignores a pong that does not answer the last ping."""
        if number != self.awaited_pong:
            return
        self.awaited_pong = None
        if now_ms - self.last_check_at_ms > HEARTBEAT_INTERVAL_MS:
            return  # this process was paused, so the pong may have arrived long before it was read
        sample_ms = now_ms - self.last_ping_at_ms
        if self.round_trip_ms:
            self.round_trip_ms += (sample_ms - self.round_trip_ms) * ROUND_TRIP_GAIN
        else:
            self.round_trip_ms = sample_ms

    def check(self, now_ms: float) -> CheckResult:
        """Updates the peer's state and returns what to do; called several times per heartbeat interval."""
        since_last_check_ms = now_ms - self.last_check_at_ms
        self.last_check_at_ms = now_ms
        if self.state is PeerState.GONE:
            return CheckResult(change=self._check_unreported_gone(now_ms))
        if since_last_check_ms > HEARTBEAT_INTERVAL_MS:
            self._shift_times_by_pause(now_ms, since_last_check_ms)
        idle_ms = now_ms - self.last_message_at_ms
        unanswered_ms = 0.0 if self.awaited_pong is None else now_ms - self.last_ping_at_ms
        if idle_ms >= GONE_TIMEOUT_MS:
            change = self._evaluate(now_ms, idle_ms, unanswered_ms)
            return CheckResult(abort_reason=_idle_reason(idle_ms), change=change)
        if unanswered_ms >= GONE_TIMEOUT_MS:
            change = self._evaluate(now_ms, idle_ms, unanswered_ms)
            return CheckResult(abort_reason=_unanswered_reason(unanswered_ms), change=change)
        ping_number = None
        if self._is_ping_due(now_ms, idle_ms):
            self.last_ping_number += 1
            ping_number = self.last_ping_number
            self.awaited_pong = ping_number
            self.last_ping_at_ms = now_ms
            unanswered_ms = 0.0
        return CheckResult(ping_number, change=self._evaluate(now_ms, idle_ms, unanswered_ms))

    def _check_unreported_gone(self, now_ms: float) -> PeerStateChange | None:
        if now_ms - self.state_since_ms > GONE_TIMEOUT_MS:
            return self.on_disconnected(now_ms, "no connection established")
        return None

    def _shift_times_by_pause(self, now_ms: float, pause_ms: float) -> None:
        """Shifts the times of the last message and ping by a pause of this process.

        Messages that arrived during the pause may not have been read yet. A message that was read between the
        pause and this check has a recent time already, so the shifted time is limited to now.
        """
        self.last_message_at_ms = min(now_ms, self.last_message_at_ms + pause_ms)
        self.last_ping_at_ms = min(now_ms, self.last_ping_at_ms + pause_ms)

    def _is_ping_due(self, now_ms: float, idle_ms: float) -> bool:
        if self.awaited_pong is not None:
            return False
        return idle_ms >= HEARTBEAT_INTERVAL_MS or now_ms - self.last_ping_at_ms >= MAX_PING_INTERVAL_MS

    def _evaluate(self, now_ms: float, idle_ms: float, unanswered_ms: float) -> PeerStateChange | None:
        if idle_ms > SILENT_TIMEOUT_MS:
            return self._change_state(now_ms, PeerState.SILENT, _idle_reason(idle_ms))
        if unanswered_ms > PONG_TIMEOUT_MS:
            return self._change_state(now_ms, PeerState.SLOW, _unanswered_reason(unanswered_ms))
        # Hysteresis, so that a peer near the limit does not change its state with every ping.
        was_slow = self.state is PeerState.SLOW
        round_trip_limit_ms = SLOW_ROUND_TRIP_MS / 2.0 if was_slow else SLOW_ROUND_TRIP_MS
        if self.round_trip_ms > round_trip_limit_ms:
            return self._change_state(now_ms, PeerState.SLOW, f"round trip of {self.round_trip_ms:.0f} ms")
        return self._change_state(now_ms, PeerState.LIVE, "pings are answered in time")

    def _change_state(self, now_ms: float, state: PeerState, reason: str) -> PeerStateChange | None:
        if state is self.state:
            return None
        duration_ms = now_ms - self.state_since_ms
        change = PeerStateChange(self.name, self.state, state, duration_ms, self.round_trip_ms, reason)
        self.state = state
        self.state_since_ms = now_ms
        self.is_gone_reported = state is PeerState.GONE
        return change


def _idle_reason(idle_ms: float) -> str:
    return f"no message for {idle_ms:.0f} ms"


def _unanswered_reason(unanswered_ms: float) -> str:
    return f"no answer to a ping for {unanswered_ms:.0f} ms"
