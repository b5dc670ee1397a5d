"""Feeds the history of the environment `edge` to the shared invariant checker. No I/O.

An attempt is timed by its arrival in the fault proxy's socket, an answer by its arrival in the client's
socket (`socket_arrival.py`), and an execution by the attempt's arrival at the app server. The order of an
answer and an event within `REORDERING_MS` of the answer is unknown: arrival times are rounded to the
kernel's timer ticks, and a node may write to two sockets in any order.
"""

from __future__ import annotations

from itertools import chain
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.invariants import AttemptRecord, InvariantChecker
from onyxpost.simulation.multiprocess.checker import Finding, events_of_type
from onyxpost.simulation.multiprocess.client_invariants import (
    connections_are_answered,
    effects_are_not_repeated,
    responses_are_complete,
)
from onyxpost.simulation.multiprocess.history import (
    DISCONNECTED,
    PROCESS_ENDS,
    TIMED_OUT,
    AttemptForwarded,
    AttemptNotExecuted,
    AttemptReceived,
    EndpointNotified,
    ProcessChanged,
    RequestAnswered,
    RequestSent,
    RequestUnanswered,
    ServerStarted,
)
from onyxpost.simulation.multiprocess.process_availability import ProcessAvailability
from onyxpost.simulation.multiprocess.scheduling_lag import SchedulingLag

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from onyxpost.core.types import Frontend, Plan, SlowStartPolicy
    from onyxpost.simulation.multiprocess.history import HistoryEvent

DEADLINE_TOLERANCE_MS = 50.0  # accepted lateness after a client's timeout
REORDERING_MS = 30.0  # maximum error in the order of an answer and another event
CHECKED_EVENTS = (
    RequestSent,
    RequestAnswered,
    RequestUnanswered,
    AttemptForwarded,
    AttemptNotExecuted,
    AttemptReceived,
    EndpointNotified,
    ServerStarted,
    ProcessChanged,
)


class EdgeLimits(NamedTuple):
    """The settings of the nodes that the invariants depend on."""

    frontends: Sequence[Frontend]
    plans: Sequence[Plan]
    slow_start: SlowStartPolicy
    drain_grace_ms: float
    max_request_units: int


class ScheduledEvent(NamedTuple):
    """An event and the time at which it takes effect; events of equal times keep the order of the history."""

    at_ms: float
    position: int
    event: HistoryEvent


class EdgeInvariants:
    """All invariants of edge nodes that can be checked on events outside of the nodes."""

    def __init__(self, limits: EdgeLimits) -> None:
        self.limits = limits
        self.frontends = {frontend.name: frontend for frontend in limits.frontends}

    def __call__(self, events: Sequence[HistoryEvent]) -> Iterable[Finding]:
        """Returns the findings in the history of a run."""
        availability = ProcessAvailability(events)
        lag = SchedulingLag(events)
        requests = {request.trace: request for request in events_of_type(events, RequestSent)}
        adapter = _CheckerAdapter(self.limits, self.frontends, availability, lag)
        return chain(
            adapter.run(events),
            responses_are_complete(events, requests),
            connections_are_answered(events, requests, availability, lag),
            effects_are_not_repeated(events, requests, self.frontends),
        )


class _CheckerAdapter:
    """Passes a history to an `InvariantChecker`, in order of the times at which the events take effect."""

    def __init__(
        self,
        limits: EdgeLimits,
        frontends: dict[str, Frontend],
        availability: ProcessAvailability,
        lag: SchedulingLag,
    ) -> None:
        self.limits = limits
        self.frontends = frontends
        self.availability = availability
        self.lag = lag
        self.requests: dict[str, RequestSent] = {}
        self.checker = InvariantChecker(
            drain_grace_ms=limits.drain_grace_ms,
            slow_start=limits.slow_start,
            plans=limits.plans,
            tolerance_ms=DEADLINE_TOLERANCE_MS + lag.tolerance_ms,
            max_request_units=limits.max_request_units,
        )

    def run(self, events: Sequence[HistoryEvent]) -> list[Finding]:
        """Returns the checker's violations; their times are limited to that of the last event."""
        scheduled = sorted(
            ScheduledEvent(self._effective_at_ms(event), position, event)
            for position, event in enumerate(events)
            if isinstance(event, CHECKED_EVENTS) and not self._is_undeliverable(event)
        )
        for at_ms, _, event in scheduled:
            # Answers take effect later by this amount, so deadlines are checked up to the earlier time only.
            self.checker.check_deadlines(at_ms - REORDERING_MS - self.lag.tolerance_ms)
            self._dispatch(at_ms, event)
        self.checker.finish(inf)
        last_ms = events[-1].at_ms if events else 0.0
        return [
            Finding(
                violation.invariant,
                min(violation.at_ms, last_ms),
                violation.node,
                f"request {violation.request_id} {violation.server}: {violation.description}",
            )
            for violation in self.checker.violations
        ]

    def _is_undeliverable(self, event: HistoryEvent) -> bool:
        """Whether the event was sent to a node that had no process."""
        return isinstance(event, EndpointNotified) and self.availability.is_dead(event.node, event.at_ms)

    def _effective_at_ms(self, event: HistoryEvent) -> float:
        match event:
            case EndpointNotified():
                read_at_ms = self.availability.available_from(event.node, event.at_ms)
                latest_ms = read_at_ms + self.limits.drain_grace_ms + DEADLINE_TOLERANCE_MS
                return read_at_ms + self.lag.total_ms(event.node, read_at_ms, latest_ms)
            case RequestAnswered() | RequestUnanswered():
                return event.at_ms + REORDERING_MS + self.lag.tolerance_ms
        return event.at_ms

    def _dispatch(self, at_ms: float, event: HistoryEvent) -> None:
        match event:
            case RequestSent():
                self._on_request_sent(event)
            case RequestAnswered():
                node = self.requests[event.trace].node
                self.checker.on_final_answer(event.at_ms, node, event.trace, event.outcome)
            case RequestUnanswered():
                self._on_request_unanswered(event)
            case AttemptForwarded():
                self._on_attempt_forwarded(event)
            case AttemptNotExecuted():
                self._on_attempt_not_executed(event)
            case AttemptReceived():
                self._on_attempt_received(event)
            case EndpointNotified():
                self.checker.on_endpoint_notified(at_ms, event.node, event.server, event.state)
            case ServerStarted():
                self.checker.on_server_started(
                    event.at_ms, event.server, event.capacity, event.work_per_call_ms
                )
            case ProcessChanged() if event.change in PROCESS_ENDS:
                self.checker.on_node_killed(event.at_ms, event.node)

    def _on_request_sent(self, event: RequestSent) -> None:
        self.requests[event.trace] = event
        frontend = self.frontends[event.frontend]
        deadline_ms = event.at_ms + frontend.client_timeout_ms
        self.checker.on_request_received(
            event.at_ms, event.node, event.trace, frontend, event.customer, event.units, deadline_ms
        )
        latest_ms = deadline_ms + DEADLINE_TOLERANCE_MS
        if self.availability.is_unavailable(event.node, event.at_ms, latest_ms) or self.lag.has_long_lag(
            event.node, event.at_ms, latest_ms
        ):
            self.checker.excuse_answer(event.node, event.trace)

    def _on_request_unanswered(self, event: RequestUnanswered) -> None:
        """Passes on disconnects of clients, and excuses the answer after an error.

        `connections_are_answered` checks errors; timeouts are left to the deadline check.
        """
        node = self.requests[event.trace].node
        if event.cause == DISCONNECTED:
            self.checker.on_client_disconnected(event.at_ms, node, event.trace)
        elif event.cause != TIMED_OUT:
            self.checker.excuse_answer(node, event.trace)

    def _on_attempt_forwarded(self, event: AttemptForwarded) -> None:
        request = self.requests.get(event.trace)
        if request is None:  # an attempt of a run before a restart
            return
        attempt = AttemptRecord(
            event.node,
            event.trace,
            event.server,
            sent_at_ms=event.at_ms,
            first_byte_at_ms=event.at_ms,
            zone=event.zone,
            cell=event.cell,
            plan=request.plan,
        )
        self.checker.on_attempt_sent(attempt)

    def _on_attempt_not_executed(self, event: AttemptNotExecuted) -> None:
        """Marks the first possibly executed attempt at the server as never executed."""
        request = self.requests.get(event.trace)
        if request is None:
            return
        record = self.checker.history.get(request.node, event.trace)
        if record is None:
            return
        for index, attempt in enumerate(record.attempts):
            if attempt.server == event.server and attempt.is_possibly_executed:
                self.checker.on_attempt_ended(event.at_ms, record.node, event.trace, index, True)
                return

    def _on_attempt_received(self, event: AttemptReceived) -> None:
        request = self.requests.get(event.trace)
        node = request.node if request is not None else ""
        self.checker.on_work_received(event.at_ms, event.server, event.work_ms, node, event.trace)
        self.checker.on_call_received(event.at_ms, event.server, node, event.trace)
