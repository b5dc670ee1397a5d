"""Checks how many attempts begin after their client has closed or cancelled. Times are in ms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.invariants.records import Invariant, Violation

if TYPE_CHECKING:
    from onyxpost.simulation.invariants.records import AttemptRecord, RequestRecord

LATE_ATTEMPT_MS = 100.0  # an attempt that begins longer than this after its client disconnected is late
MAX_LATE_ATTEMPTS = 2  # late attempts tolerated in one run
LATE_FIRST_ATTEMPT_MS = 300.0  # the same for the first attempt of a request, counted separately
# Tolerated late first attempts, as a fraction of the requests not yet sent when their client disconnected.
MAX_LATE_FIRST_FRACTION = 0.25
MIN_LATE_FIRST_ATTEMPTS = 5  # fewer late first attempts are tolerated whatever their fraction


class DisconnectedClients:
    """Counts the late attempts of a run; the tolerance is added to each time limit."""

    def __init__(self, tolerance_ms: float) -> None:
        self.tolerance_ms = tolerance_ms
        self._late_attempts = 0
        self._waiting_requests = 0  # requests not yet sent to any server when their client disconnected
        self._late_first_attempts: list[Violation] = []

    def on_disconnected(self, request: RequestRecord) -> None:
        """Counts a request if it was not yet sent to any server when its client disconnected."""
        if not request.attempts:
            self._waiting_requests += 1

    def violation_of(self, request: RequestRecord, attempt: AttemptRecord) -> Violation | None:
        """Counts an attempt if it is late. Returns a violation if the run now has too many late attempts.

        Must be called before the attempt is added to its request.
        """
        if request.disconnected_at_ms is None:
            return None
        delay_ms = attempt.first_byte_at_ms - request.disconnected_at_ms
        if not request.attempts and delay_ms > LATE_FIRST_ATTEMPT_MS + self.tolerance_ms:
            self._record_first_attempt(attempt, delay_ms)
        if delay_ms <= LATE_ATTEMPT_MS + self.tolerance_ms:
            return None
        self._late_attempts += 1
        if self._late_attempts <= MAX_LATE_ATTEMPTS:
            return None
        description = f"begun {delay_ms:.0f} ms after its client disconnected"
        return attempt.violation(Invariant.DISCONNECTED_CLIENTS, description)

    def _record_first_attempt(self, attempt: AttemptRecord, delay_ms: float) -> None:
        violation = Violation(
            Invariant.DISCONNECTED_FIRST_ATTEMPTS,
            attempt.first_byte_at_ms,
            attempt.node,
            attempt.request_id,
            attempt.server,
            f"first sent {delay_ms:.0f} ms after its client disconnected",
        )
        self._late_first_attempts.append(violation)

    def violation_of_run(self) -> Violation | None:
        """Returns a violation by the last late first attempt if the complete run has too many of them."""
        late = len(self._late_first_attempts)
        if late < MIN_LATE_FIRST_ATTEMPTS or late <= MAX_LATE_FIRST_FRACTION * self._waiting_requests:
            return None
        last = self._late_first_attempts[-1]
        description = f"{late} of {self._waiting_requests} that waited; this one {last.description}"
        return last._replace(description=description)
