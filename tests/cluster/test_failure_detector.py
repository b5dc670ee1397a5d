"""The failure detector of one peer, with a simulated peer and clock."""

import pytest

from onyxpost.cluster.failure_detector import (
    GONE_TIMEOUT_MS,
    SILENT_TIMEOUT_MS,
    SLOW_ROUND_TRIP_MS,
    CheckResult,
    PeerFailureDetector,
    PeerState,
    PeerStateChange,
)
from onyxpost.cluster.heartbeat_timing import HEARTBEAT_INTERVAL_MS

STEP_MS = 50.0
CHECK_INTERVAL_MS = 100.0


class SimulatedPeer:
    """A connected peer that answers pings, and its failure detector."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.pongs_due: list[tuple[float, int]] = []
        self.detector = PeerFailureDetector("n1", 0.0)
        self.changes: list[PeerStateChange | None] = [self.detector.on_connected(0.0)]

    def run(
        self, duration_ms: float, answer_delay_ms: float | None, *, sends_messages: bool = False
    ) -> str | None:
        """Advances the clock, at most until the detector requests to abort the connection.

        Returns the reason to abort, or None.

        Pings are answered after `answer_delay_ms`, or not at all if it is None.
        """
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self._receive_due_pongs()
            if sends_messages:
                self.detector.on_message(self.now_ms)
            if self.now_ms % CHECK_INTERVAL_MS == 0.0:
                result = self.detector.check(self.now_ms)
                self.changes.append(result.change)
                if result.abort_reason is not None:
                    return result.abort_reason
                if result.ping_number is not None and answer_delay_ms is not None:
                    self.pongs_due.append((self.now_ms + answer_delay_ms, result.ping_number))
        return None

    def states(self) -> list[PeerState]:
        return [change.current for change in self.changes if change is not None]

    def _receive_due_pongs(self) -> None:
        for due in [due for due in self.pongs_due if due[0] <= self.now_ms]:
            self.pongs_due.remove(due)
            _, number = due
            self.detector.on_message(self.now_ms)
            self.detector.on_pong(self.now_ms, number)


@pytest.fixture
def peer() -> SimulatedPeer:
    return SimulatedPeer()


def test_a_peer_that_answers_is_live(peer: SimulatedPeer) -> None:
    assert peer.run(20_000.0, 50.0) is None
    assert peer.states() == [PeerState.LIVE]
    assert peer.detector.round_trip_ms == 50.0


def test_a_peer_that_answers_late_is_slow_until_its_round_trip_is_well_below_the_limit(
    peer: SimulatedPeer,
) -> None:
    peer.run(10_000.0, SLOW_ROUND_TRIP_MS + 100.0)
    peer.run(20_000.0, SLOW_ROUND_TRIP_MS - 50.0)  # too close to the limit to change the state
    assert peer.states() == [PeerState.LIVE, PeerState.SLOW]
    peer.run(20_000.0, 50.0)
    assert peer.states() == [PeerState.LIVE, PeerState.SLOW, PeerState.LIVE]


def test_a_peer_that_sends_nothing_is_silent_then_gone(peer: SimulatedPeer) -> None:
    peer.run(5000.0, 0.0)
    silent_since_ms = peer.now_ms
    reason = peer.run(10_000.0, None)
    assert reason is not None
    assert "no message for" in reason
    assert PeerState.SILENT in peer.states()
    assert peer.now_ms - silent_since_ms < GONE_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS
    change = peer.detector.on_disconnected(peer.now_ms, "aborted")
    assert change is not None
    assert change.previous is PeerState.SILENT
    assert change.current is PeerState.GONE


def test_a_peer_that_sends_but_does_not_answer_is_slow_then_gone(peer: SimulatedPeer) -> None:
    reason = peer.run(10_000.0, None, sends_messages=True)
    assert reason is not None
    assert "no answer" in reason
    assert peer.states() == [PeerState.LIVE, PeerState.SLOW]


def test_a_pause_of_this_process_does_not_change_the_state_of_the_peer(peer: SimulatedPeer) -> None:
    peer.run(5000.0, 50.0)
    peer.now_ms += 3 * GONE_TIMEOUT_MS  # nothing was read during the pause
    assert peer.run(5000.0, 50.0) is None
    assert peer.states() == [PeerState.LIVE]


def test_messages_read_between_a_pause_and_the_next_check_do_not_change_the_state(
    peer: SimulatedPeer,
) -> None:
    peer.run(5000.0, 50.0)
    while (ping_number := peer.detector.check(peer.now_ms).ping_number) is None:
        peer.now_ms += CHECK_INTERVAL_MS
    peer.now_ms += 600_000.0
    peer.detector.on_message(peer.now_ms)  # connections are read before the next check
    peer.detector.on_pong(peer.now_ms, ping_number)
    assert peer.detector.check(peer.now_ms) == CheckResult()
    assert peer.detector.round_trip_ms == 50.0
    reason = peer.run(GONE_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS, None)  # a silent peer is detected again
    assert reason is not None
    assert "no message for" in reason


def test_a_pong_for_another_ping_or_a_repeated_one_is_ignored(peer: SimulatedPeer) -> None:
    ping_number = peer.detector.check(HEARTBEAT_INTERVAL_MS).ping_number
    assert ping_number is not None
    peer.detector.on_pong(HEARTBEAT_INTERVAL_MS, ping_number + 1)
    assert peer.detector.round_trip_ms == 0.0
    peer.detector.on_pong(HEARTBEAT_INTERVAL_MS + 10.0, ping_number)
    peer.detector.on_pong(HEARTBEAT_INTERVAL_MS + 900.0, ping_number)
    assert peer.detector.round_trip_ms == 10.0


def test_a_peer_that_never_connected_is_reported_once() -> None:
    detector = PeerFailureDetector("n1", 0.0)
    changes = [detector.check(index * CHECK_INTERVAL_MS).change for index in range(100)]
    assert [change.current for change in changes if change is not None] == [PeerState.GONE]
    assert GONE_TIMEOUT_MS > SILENT_TIMEOUT_MS
