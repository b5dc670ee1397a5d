"""Checks that nodes send no attempts to servers that they know to be draining. Times are in ms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.invariants.records import Invariant, Violation

if TYPE_CHECKING:
    from onyxpost.simulation.invariants.endpoint_knowledge import EndpointKnowledge
    from onyxpost.simulation.invariants.records import AttemptRecord


class DrainChecker:
    """Checks attempts against the server states that their nodes know, or count as knowing."""

    def __init__(self, knowledge: EndpointKnowledge, grace_ms: float, tolerance_ms: float) -> None:
        self._knowledge = knowledge
        self._grace_ms = grace_ms
        self._tolerance_ms = tolerance_ms

    def violation_of(self, attempt: AttemptRecord) -> Violation | None:
        """Returns a violation if the attempt began after the drain grace period of its server."""
        notification = self._knowledge.drain_notification(attempt.node, attempt.server)
        if notification is None:
            return None
        if attempt.first_byte_at_ms <= notification.at_ms + self._grace_ms + self._tolerance_ms:
            return None
        delay_ms = attempt.first_byte_at_ms - notification.at_ms
        if notification.was_received:
            description = f"sent {delay_ms:.0f} ms after its node was notified of the drain"
            return attempt.violation(Invariant.DRAIN_NOTIFIED, description)
        description = f"sent {delay_ms:.0f} ms after its node counts as notified of the drain"
        return attempt.violation(Invariant.DRAIN_PROPAGATED, description)
