"""Failure detector for one peer. Pure: the caller passes the time in, state changes are returned as values.

The states say how a peer is reachable from here, not what its process does. A suspected or disconnected peer
may still be running and acting: excluding that takes a lease and a fencing token.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from onyxpost.cluster.heartbeat_timing import HEARTBEAT_INTERVAL_MS

MAX_PING_INTERVAL_MS = 4 * HEARTBEAT_INTERVAL_MS  # between pings on a busy connection, for its round trip
# Three intervals: one heartbeat that is missing and another that is late do not make a peer suspected.
SUSPICION_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS
DISCONNECT_TIMEOUT_MS = 6 * HEARTBEAT_INTERVAL_MS  # then the connection is aborted; TCP alone takes minutes
# A hundred times the round trip within one site; reached by a peer that is overloaded.
SLOW_ROUND_TRIP_MS = HEARTBEAT_INTERVAL_MS / 2
PONG_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS  # a ping unanswered for longer counts as slow
ROUND_TRIP_GAIN = 1.0 / 8.0  # weight of a new sample, as TCP's smoothed round-trip time (RFC 6298)


class PeerState(Enum):
    """How a peer is reachable from this node. The values are those of log lines and statistics."""

    ALIVE = "live"
    SLOW = "slow"  # messages arrive, but pings are answered late
    SUSPECTED = "silent"  # connected, but no message arrives
    DISCONNECTED = "gone"


class PeerStateChange(NamedTuple):
    """A change of a peer's state, for the log."""

    peer: str
    previous: PeerState
    current: PeerState
    previous_duration_ms: float
    round_trip_ms: float  # 0: not measured
    reason: str


class CheckResult(NamedTuple):
    """What is to be done after the periodic check of a peer."""

    ping_number: int | None = None  # send a ping with this number
    abort_reason: str | None = None  # abort the connection
    change: PeerStateChange | None = None


class PeerFailureDetector:
    """Tracks one peer by the messages and pongs received from it. All times are milliseconds."""

    def __init__(self, name: str, now_ms: float) -> None:
        self.name = name
        self.state = PeerState.DISCONNECTED
        self.state_since_ms = now_ms
        # Whether a change to DISCONNECTED was returned. A peer starts in that state, without a change: one is
        # returned when its first dial fails or the timeout is over.
        self.disconnect_reported = False
        self.last_check_at_ms = now_ms
        self.last_message_at_ms = now_ms
        self.last_ping_at_ms = now_ms
        self.last_ping_number = 0
        self.awaited_pong: int | None = None
        self.round_trip_ms = 0.0  # smoothed; 0: not measured

    def on_connected(self, now_ms: float) -> PeerStateChange | None:
        """A connection was established: the peer's hello was accepted."""
        self.last_message_at_ms = now_ms
        self.last_ping_at_ms = now_ms
        self.last_check_at_ms = now_ms
        self.awaited_pong = None
        self.round_trip_ms = 0.0
        return self._enter(now_ms, PeerState.ALIVE, "connected")

    def on_disconnected(self, now_ms: float, reason: str) -> PeerStateChange | None:
        """The connection ended, or none could be established."""
        self.awaited_pong = None
        if self.state is PeerState.DISCONNECTED and not self.disconnect_reported:
            self.disconnect_reported = True
            duration_ms = now_ms - self.state_since_ms
            return PeerStateChange(self.name, self.state, self.state, duration_ms, 0.0, reason)
        return self._enter(now_ms, PeerState.DISCONNECTED, reason)

    def on_message(self, now_ms: float) -> None:
        """Any message was received from the peer."""
        self.last_message_at_ms = now_ms

    def on_pong(self, now_ms: float, number: int) -> None:
        """A pong was received. One that answers an earlier ping than the last is ignored."""
        if number != self.awaited_pong:
            return
        self.awaited_pong = None
        if now_ms - self.last_check_at_ms > HEARTBEAT_INTERVAL_MS:
            return  # this process was paused: how long the pong waited to be read is unknown
        sample_ms = now_ms - self.last_ping_at_ms
        if self.round_trip_ms:
            self.round_trip_ms += (sample_ms - self.round_trip_ms) * ROUND_TRIP_GAIN
        else:
            self.round_trip_ms = sample_ms

    def check(self, now_ms: float) -> CheckResult:
        """Evaluates the peer; to be called several times per heartbeat interval."""
        since_last_check_ms = now_ms - self.last_check_at_ms
        self.last_check_at_ms = now_ms
        if self.state is PeerState.DISCONNECTED:
            return CheckResult(change=self._check_never_connected(now_ms))
        if since_last_check_ms > HEARTBEAT_INTERVAL_MS:
            self._discount_own_pause(now_ms, since_last_check_ms)
        idle_ms = now_ms - self.last_message_at_ms
        unanswered_ms = 0.0 if self.awaited_pong is None else now_ms - self.last_ping_at_ms
        if idle_ms >= DISCONNECT_TIMEOUT_MS:
            change = self._evaluate(now_ms, idle_ms, unanswered_ms)
            return CheckResult(abort_reason=_no_message(idle_ms), change=change)
        if unanswered_ms >= DISCONNECT_TIMEOUT_MS:
            change = self._evaluate(now_ms, idle_ms, unanswered_ms)
            return CheckResult(abort_reason=_no_answer(unanswered_ms), change=change)
        ping_number = None
        if self._is_ping_due(now_ms, idle_ms):
            self.last_ping_number += 1
            ping_number = self.last_ping_number
            self.awaited_pong = ping_number
            self.last_ping_at_ms = now_ms
            unanswered_ms = 0.0
        return CheckResult(ping_number, change=self._evaluate(now_ms, idle_ms, unanswered_ms))

    def _check_never_connected(self, now_ms: float) -> PeerStateChange | None:
        if now_ms - self.state_since_ms > DISCONNECT_TIMEOUT_MS:
            return self.on_disconnected(now_ms, "never connected")
        return None

    def _discount_own_pause(self, now_ms: float, pause_ms: float) -> None:
        """Moves the peer's last times on by a pause of this process: what arrived meanwhile may be unread.

        A message that was read after the pause but before this check has a time close to now; the minimum
        keeps it from moving into the future.
        """
        self.last_message_at_ms = min(now_ms, self.last_message_at_ms + pause_ms)
        self.last_ping_at_ms = min(now_ms, self.last_ping_at_ms + pause_ms)

    def _is_ping_due(self, now_ms: float, idle_ms: float) -> bool:
        if self.awaited_pong is not None:
            return False
        return idle_ms >= HEARTBEAT_INTERVAL_MS or now_ms - self.last_ping_at_ms >= MAX_PING_INTERVAL_MS

    def _evaluate(self, now_ms: float, idle_ms: float, unanswered_ms: float) -> PeerStateChange | None:
        if idle_ms > SUSPICION_TIMEOUT_MS:
            return self._enter(now_ms, PeerState.SUSPECTED, _no_message(idle_ms))
        if unanswered_ms > PONG_TIMEOUT_MS:
            return self._enter(now_ms, PeerState.SLOW, _no_answer(unanswered_ms))
        # Hysteresis: a peer near the limit does not change state with every ping.
        was_slow = self.state is PeerState.SLOW
        round_trip_limit_ms = SLOW_ROUND_TRIP_MS / 2.0 if was_slow else SLOW_ROUND_TRIP_MS
        if self.round_trip_ms > round_trip_limit_ms:
            return self._enter(now_ms, PeerState.SLOW, f"answers after {self.round_trip_ms:.0f} ms")
        return self._enter(now_ms, PeerState.ALIVE, "answers")

    def _enter(self, now_ms: float, state: PeerState, reason: str) -> PeerStateChange | None:
        if state is self.state:
            return None
        duration_ms = now_ms - self.state_since_ms
        change = PeerStateChange(self.name, self.state, state, duration_ms, self.round_trip_ms, reason)
        self.state = state
        self.state_since_ms = now_ms
        self.disconnect_reported = state is PeerState.DISCONNECTED
        return change


def _no_message(idle_ms: float) -> str:
    return f"no message for {idle_ms:.0f} ms"


def _no_answer(unanswered_ms: float) -> str:
    return f"no answer for {unanswered_ms:.0f} ms"
