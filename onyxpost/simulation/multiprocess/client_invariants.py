"""Invariants of requests, checked on the events of clients and app servers. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.types import DeduplicationScope, Frontend, Idempotency
from onyxpost.simulation.invariants import Invariant
from onyxpost.simulation.multiprocess.checker import Finding, events_of_type
from onyxpost.simulation.multiprocess.history import (
    DISCONNECTED,
    TIMED_OUT,
    AttemptNotExecuted,
    AttemptReceived,
    ConnectionRefused,
    RequestUnanswered,
    UnexpectedResponse,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent, RequestSent
    from onyxpost.simulation.multiprocess.process_availability import ProcessAvailability
    from onyxpost.simulation.multiprocess.scheduling_lag import SchedulingLag

ACCEPTING_AFTER_SIGTERM_MS = 400.0  # a node must still accept connections for this time after SIGTERM


class FailedConnection(NamedTuple):
    """A client's connection that a node refused, or closed without a response."""

    trace: str
    node: str
    begin_ms: float
    end_ms: float
    cause: str


def responses_are_complete(
    events: Sequence[HistoryEvent], requests: Mapping[str, RequestSent]
) -> Iterator[Finding]:
    """Each client receives the response to its own request, once, and no bytes after it."""
    for event in events_of_type(events, UnexpectedResponse):
        node = requests[event.trace].node
        yield Finding(Invariant.ANSWERS, event.at_ms, node, f"request {event.trace}: {event.description}")


def connections_are_answered(
    events: Sequence[HistoryEvent],
    requests: Mapping[str, RequestSent],
    availability: ProcessAvailability,
    lag: SchedulingLag,
) -> Iterator[Finding]:
    """No running node refuses a client, or closes its connection without a response."""
    for event in events:
        match event:
            case RequestUnanswered() if event.cause not in (TIMED_OUT, DISCONNECTED):
                request = requests[event.trace]
                failure = FailedConnection(event.trace, request.node, request.at_ms, event.at_ms, event.cause)
            case ConnectionRefused():
                failure = FailedConnection(event.trace, event.node, event.at_ms, event.at_ms, "refused")
            case _:
                continue
        if not _is_excused(failure, availability, lag):
            description = f"request {failure.trace}: no answer, connection {failure.cause}"
            yield Finding(Invariant.ANSWERS, failure.end_ms, failure.node, description)


def _is_excused(failure: FailedConnection, availability: ProcessAvailability, lag: SchedulingLag) -> bool:
    """Whether the node was terminating or did not run; scheduling lag extends these intervals."""
    lag_ms = lag.tolerance_ms + lag.total_ms(
        failure.node, failure.begin_ms - ACCEPTING_AFTER_SIGTERM_MS, failure.end_ms
    )
    was_closing = any(
        terminating.begin_ms + ACCEPTING_AFTER_SIGTERM_MS - lag_ms <= failure.begin_ms <= terminating.end_ms
        for terminating in availability.terminating.get(failure.node, ())
    )
    return was_closing or availability.is_unavailable(
        failure.node, failure.begin_ms - lag_ms, failure.end_ms + lag_ms
    )


def effects_are_not_repeated(
    events: Sequence[HistoryEvent],
    requests: Mapping[str, RequestSent],
    frontends: Mapping[str, Frontend],
) -> Iterator[Finding]:
    """App servers execute a non-idempotent request at most once.

    A request with an idempotency key may be executed again within its deduplication scope.
    """
    rejected = {
        (event.trace, event.server, event.attempt_number)
        for event in events_of_type(events, AttemptNotExecuted)
    }
    first_executed: dict[str, AttemptReceived] = {}
    for attempt in events_of_type(events, AttemptReceived):
        if (attempt.trace, attempt.server, attempt.attempt_number) in rejected:
            continue
        first = first_executed.setdefault(attempt.trace, attempt)
        request = requests.get(attempt.trace)
        if first is attempt or request is None:
            continue
        if not may_execute_again(frontends[request.frontend], first, attempt):
            description = (
                f"request {attempt.trace} was executed at {first.server} and again at {attempt.server}"
            )
            yield Finding(Invariant.IDEMPOTENCY, attempt.at_ms, request.node, description)


def may_execute_again(frontend: Frontend, first: AttemptReceived, attempt: AttemptReceived) -> bool:
    """Whether a request may be executed again: it is idempotent, or both servers are in one scope."""
    match frontend.idempotency:
        case Idempotency.IDEMPOTENT:
            return True
        case Idempotency.NON_IDEMPOTENT:
            return False
    match frontend.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return attempt.zone == first.zone
        case DeduplicationScope.CELL:
            return attempt.cell == first.cell
    return False
