"""What the checker remembers of requests and attempts, and how it reports a violation.

All times are in ms on the clock of whoever hosts the nodes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from onyxpost.core.types import Frontend


class Invariant(StrEnum):
    """The invariants; their values stand in result files."""

    ANSWERS = "answers"
    """Each request has exactly one final answer in time, and no attempt after it."""
    IDEMPOTENCY = "effects"
    """A request that was possibly executed is retried and rejected only as its idempotency permits."""
    DRAIN_NOTIFIED = "drains"
    """No attempt to a server past the drain grace, counted from the notification of its node."""
    DRAIN_PROPAGATED = "told"
    """The same, counted from when the node counts as notified, whether it was or not."""
    SLOW_START_WORK = "cold"
    """A server in slow start is not overloaded by the work that reaches it."""
    SLOW_START_CALLS = "cold sum"
    """The same by a count of calls of like work, beyond what chance explains."""
    HARD_LIMITS = "ceilings"
    """All nodes together send no more of a customer's units than its hard limit."""
    DISCONNECTED_CLIENTS = "gone"
    """Few attempts begin late after their client has disconnected."""
    DISCONNECTED_FIRST_ATTEMPTS = "gone firsts"
    """Few of the requests that wait when their client disconnects are first sent long after it."""


class Violation(NamedTuple):
    """A violated invariant, with the request, node and server concerned; "" where there is none."""

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
    """When its last byte was at the server."""
    first_byte_at_ms: float
    """When its first byte left the node."""
    zone: str = ""
    cell: int = 0
    plan: str = ""
    not_executed_at_ms: float | None = None
    """When it ended with a proof that the server had not executed it."""

    @property
    def is_possibly_executed(self) -> bool:
        """Whether nothing proves that the server has not executed it."""
        return self.not_executed_at_ms is None

    def violation(self, invariant: Invariant, description: str) -> Violation:
        """Returns a violation by this attempt, when it was sent."""
        return Violation(invariant, self.sent_at_ms, self.node, self.request_id, self.server, description)


@dataclass(slots=True)
class RequestRecord:
    """One request of a client and what became of it."""

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
    """The client disconnected, its node was killed or held up, or it was reported: no answer is owed."""
    disconnected_at_ms: float | None = None

    def first_possible_execution(self) -> AttemptRecord | None:
        """Returns the first attempt that the server possibly executed, if there is one."""
        return next((attempt for attempt in self.attempts if attempt.is_possibly_executed), None)

    def violation(self, invariant: Invariant, at_ms: float, description: str, server: str = "") -> Violation:
        """Returns a violation by this request."""
        return Violation(invariant, at_ms, self.node, self.request_id, server, description)
