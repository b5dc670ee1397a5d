"""The checker's records of requests and attempts, and the violations that it reports.

All times are in ms on the clock of the simulation that hosts the nodes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from onyxpost.core.types import Frontend


class Invariant(StrEnum):
    """The invariants; their values are part of result files."""

    ANSWERS = "answers"
    """Each request has exactly one final answer in time, and no attempt after its final answer."""
    IDEMPOTENCY = "effects"
    """A request that was possibly executed is retried and rejected only as its idempotency permits."""
    DRAIN_NOTIFIED = "drains"
    """No attempt is sent to a draining server after the drain grace period, counted from the notification."""
    DRAIN_PROPAGATED = "told"
    """No attempt is sent to a draining server after the drain grace period, counted from when the node counts
    as notified, whether or not it was."""
    SLOW_START_WORK = "cold"
    """A server in slow start is not overloaded by the work that reaches it."""
    SLOW_START_CALLS = "cold sum"
    """A server in slow start receives no more calls than its limit allows, beyond random variation.

    Only for hosts whose calls all cause about the same work."""
    HARD_LIMITS = "ceilings"
    """All nodes together send no more units of a customer than its hard limit."""
    DISCONNECTED_CLIENTS = "gone"
    """Few attempts begin long after their client has disconnected."""
    DISCONNECTED_FIRST_ATTEMPTS = "gone firsts"
    """Few of the requests not yet sent when their client disconnects are first sent long afterwards."""


class Violation(NamedTuple):
    """A violated invariant with its request, node and server; "" where there is none."""

    invariant: Invariant
    at_ms: float
    node: str
    request_id: str
    server: str
    description: str

    def to_record(self) -> dict[str, Any]:
        """Returns the violation with the keys that result files have."""
        return {
            "rule": str(self.invariant),
            "at": self.at_ms,
            "node": self.node,
            "req": self.request_id,
            "server": self.server,
            "what": self.description,
        }


@dataclass(slots=True)
class AttemptRecord:
    """One attempt whose last byte reached a server."""

    node: str
    request_id: str
    server: str
    sent_at_ms: float
    """When its last byte reached the server."""
    first_byte_at_ms: float
    """When its first byte left the node."""
    zone: str = ""
    cell: int = 0
    plan: str = ""
    not_executed_at_ms: float | None = None
    """When it ended with a proof that the server never executed it; None if it has not."""

    @property
    def is_possibly_executed(self) -> bool:
        """Whether nothing has proved that the server never executed the attempt."""
        return self.not_executed_at_ms is None

    def violation(self, invariant: Invariant, description: str) -> Violation:
        """Returns a violation by this attempt, at the time at which it was sent."""
        return Violation(invariant, self.sent_at_ms, self.node, self.request_id, self.server, description)


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, with its attempts and its final answer."""

    node: str
    request_id: str
    frontend: Frontend
    customer: str
    units: int
    received_at_ms: float
    deadline_ms: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    final_answer: str = ""
    is_answer_excused: bool = False
    """Whether no answer is required: the client disconnected, the node was killed or held up, or the missing
    answer was already reported."""
    disconnected_at_ms: float | None = None

    def first_possible_execution(self) -> AttemptRecord | None:
        """Returns the first attempt that was possibly executed; None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.is_possibly_executed), None)

    def violation(self, invariant: Invariant, at_ms: float, description: str, server: str = "") -> Violation:
        """Returns a violation by this request."""
        return Violation(invariant, at_ms, self.node, self.request_id, server, description)
