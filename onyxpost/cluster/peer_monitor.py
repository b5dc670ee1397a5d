"""The states of all other members."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from onyxpost.cluster.failure_detector import CheckResult, PeerFailureDetector, PeerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.cluster.peer_log import PeerLog


class PeerMonitor:
    """Has a failure detector for each other member, and logs each change of a state."""

    def __init__(self, members: Iterable[str], peer_log: PeerLog, now_ms: float) -> None:
        self._peer_log = peer_log
        self.detectors: dict[str, PeerFailureDetector] = {}
        self.add(members, now_ms)

    def add(self, members: Iterable[str], now_ms: float) -> None:
        """Starts to monitor the given members, except those that are monitored already."""
        for name in members:
            if name not in self.detectors:
                self.detectors[name] = PeerFailureDetector(name, now_ms)

    def remove(self, member: str, now_ms: float) -> None:
        """Stops monitoring a member that was removed from the membership."""
        change = self.detectors.pop(member).on_disconnected(now_ms, "removed by a membership change")
        self._peer_log.log_state_change(change)

    def state_of(self, member: str) -> PeerState:
        """Returns the state of a member; GONE for a name that is not a member."""
        detector = self.detectors.get(member)
        return PeerState.GONE if detector is None else detector.state

    def on_connected(self, member: str, now_ms: float) -> None:
        """Updates the state of a member whose connection was established."""
        self._peer_log.log_state_change(self.detectors[member].on_connected(now_ms))

    def on_disconnected(self, member: str, now_ms: float, reason: str) -> None:
        """Updates the state of a member whose connection ended."""
        self._peer_log.log_state_change(self.detectors[member].on_disconnected(now_ms, reason))

    def on_dial_ended(self, member: str, now_ms: float, cause: Exception | None) -> None:
        """Reports a member as gone when its first dial fails; later failures are not logged."""
        detector = self.detectors.get(member)
        if detector is None or detector.state is not PeerState.GONE or detector.is_gone_reported:
            return
        change = detector.on_disconnected(now_ms, f"{type(cause).__name__}: {cause}")
        self._peer_log.log_state_change(change)

    def check(self, member: str, now_ms: float) -> CheckResult:
        """Runs `PeerFailureDetector.check` for one member."""
        result = self.detectors[member].check(now_ms)
        self._peer_log.log_state_change(result.change)
        return result

    def count_by_state(self) -> dict[str, int]:
        """Returns the number of other members by the name of their state, zeros included."""
        counts = Counter(detector.state for detector in self.detectors.values())
        return {state.value: counts[state] for state in PeerState}
