"""Checks the invariants after every event of a simulation: discrete-event, deterministic or multiprocess.

No I/O and no clock. The simulation that hosts the nodes, here the host, reports each event with its own time
in ms. A violated invariant becomes a `Violation` with the request, node, server and time. The host reports
both what happened and when a node was notified of a change. The invariants on retries and drains depend on
the notifications that a node received or counts as having received; the invariants on slow start depend on
the attempts that reached the server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.invariants.disconnected_clients import DisconnectedClients
from onyxpost.simulation.invariants.drains import DrainChecker
from onyxpost.simulation.invariants.endpoint_knowledge import PROPAGATION_MS, EndpointKnowledge
from onyxpost.simulation.invariants.hard_limits import HardLimitChecker
from onyxpost.simulation.invariants.idempotency import IdempotencyChecker
from onyxpost.simulation.invariants.records import AttemptRecord, Invariant, RequestRecord, Violation
from onyxpost.simulation.invariants.requests import RequestHistory
from onyxpost.simulation.invariants.slow_start import Call, SlowStartChecker

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.core.types import EndpointState, Frontend, Plan, SlowStartPolicy

FINAL_ANSWERS = ("passed", "denied", "aborted")  # succeeded, rejected and aborted, as hosts report them
DEFAULT_CALL_WORK_MS = 1.0


class InvariantChecker:
    """Combines the checkers of all invariants; the host calls an `on_*` method for each event.

    Args:
        drain_grace_ms: How long a node may send attempts to a server after the notification of its drain.
        slow_start: The slow-start policy of the nodes.
        plans: The plans of the nodes.
        tolerance_ms: Added to each time limit.
        hard_limit_tolerance: The fraction of a hard limit's burst by which it may be exceeded.
        max_request_units: The units of the largest request; a hard limit may always be exceeded by as much.
    """

    def __init__(
        self,
        *,
        drain_grace_ms: float,
        slow_start: SlowStartPolicy,
        plans: Iterable[Plan],
        tolerance_ms: float = 0.0,
        hard_limit_tolerance: float = 0.1,
        max_request_units: int = 1,
    ) -> None:
        self.tolerance_ms = tolerance_ms
        self.violations: list[Violation] = []
        self.steps = 0
        self.history = RequestHistory()
        self.idempotency = IdempotencyChecker(tolerance_ms)
        self.endpoint_knowledge = EndpointKnowledge()
        self.drains = DrainChecker(self.endpoint_knowledge, drain_grace_ms, tolerance_ms)
        self.disconnected_clients = DisconnectedClients(tolerance_ms)
        self.hard_limits = HardLimitChecker(plans, hard_limit_tolerance, max_request_units)
        self.slow_start = SlowStartChecker(slow_start)

    def record_violation(self, violation: Violation) -> None:
        """Adds a violation, found by the host or by one of the checkers."""
        self.violations.append(violation)

    def _report(self, violation: Violation | None) -> None:
        if violation is not None:
            self.violations.append(violation)

    # Requests and attempts

    def on_request_received(
        self,
        at_ms: float,
        node: str,
        request_id: str,
        frontend: Frontend,
        customer: str,
        units: int,
        deadline_ms: float,
    ) -> None:
        """Records that a node has received a request, which must have its final answer by the deadline."""
        self.steps += 1
        self.history.add(RequestRecord(node, request_id, frontend, customer, units, at_ms, deadline_ms))

    def on_attempt_sent(self, attempt: AttemptRecord) -> None:
        """Records that the last byte of an attempt has reached its server."""
        self.steps += 1
        self._report(self.drains.violation_of(attempt))
        request = self.history.get(attempt.node, attempt.request_id)
        if request is None:
            description = "sent, but no client sent the request"
            self.record_violation(attempt.violation(Invariant.ANSWERS, description))
            return
        if request.final_answer:
            description = f"sent after its final answer ({request.final_answer})"
            self.record_violation(attempt.violation(Invariant.ANSWERS, description))
        self._report(self.disconnected_clients.violation_of(request, attempt))
        for violation in self.idempotency.violations_of_attempt(request, attempt):
            self.record_violation(violation)
        self._report(self.hard_limits.violation_of(request, attempt))
        request.attempts.append(attempt)

    def on_attempt_ended(
        self, at_ms: float, node: str, request_id: str, attempt_index: int, never_executed: bool
    ) -> None:
        """Handles the end of an attempt.

        Args:
            at_ms: When it ended.
            node: The node that sent it.
            request_id: The request that it belongs to.
            attempt_index: Its index among the attempts of the request that reached a server.
            never_executed: Whether its end proves that the server never executed it.
        """
        self.steps += 1
        request = self.history.get(node, request_id)
        if request is not None and attempt_index < len(request.attempts) and never_executed:
            request.attempts[attempt_index].not_executed_at_ms = at_ms

    def on_final_answer(self, at_ms: float, node: str, request_id: str, final_answer: str) -> None:
        """Records that a client has received its final answer, one of `FINAL_ANSWERS`."""
        self.steps += 1
        request = self.history.get(node, request_id)
        if request is None or final_answer not in FINAL_ANSWERS:
            description = f"{final_answer}, but no client sent the request"
            self.record_violation(Violation(Invariant.ANSWERS, at_ms, node, request_id, "", description))
            return
        if request.final_answer:
            description = f"{final_answer} after it was {request.final_answer}"
            self.record_violation(request.violation(Invariant.ANSWERS, at_ms, description))
            return
        self.history.record_answer(request, final_answer)
        if not request.is_answer_excused and at_ms > request.deadline_ms + self.tolerance_ms:
            description = f"{final_answer} {at_ms - request.deadline_ms:.0f} ms too late"
            self.record_violation(request.violation(Invariant.ANSWERS, at_ms, description))
        self._report(self.idempotency.violation_of_answer(request, at_ms))

    def on_client_disconnected(self, at_ms: float, node: str, request_id: str) -> None:
        """Records that a client has closed its connection or cancelled its request.

        The request needs no answer any more, and its node should send no further attempts.
        """
        self.steps += 1
        request = self.history.excuse_answer(node, request_id)
        if request is not None:
            request.disconnected_at_ms = at_ms
            self.disconnected_clients.on_disconnected(request)

    def excuse_answer(self, node: str, request_id: str) -> None:
        """Waives the answer to a request, although its client may still wait."""
        self.history.excuse_answer(node, request_id)

    def forget_request(self, node: str, request_id: str) -> None:
        """Removes a request that can have no further events, which limits the memory of a long run."""
        self.history.forget(node, request_id)

    # Nodes and time

    def on_node_killed(self, at_ms: float, node: str) -> None:  # noqa: ARG002 - all events have a time
        """Handles the kill of a node: its requests need no answer, and its next incarnation knows nothing."""
        self.history.excuse_answers_of(node)
        self.endpoint_knowledge.on_node_killed(node)

    def check_deadlines(self, now_ms: float) -> None:
        """Reports each request without an answer past its deadline, once. The host calls it regularly."""
        for request in self.history.overdue(now_ms, self.tolerance_ms):
            description = "no answer by the client timeout"
            self.record_violation(request.violation(Invariant.ANSWERS, now_ms, description))
            self.history.excuse_answer(request.node, request.request_id)

    def finish(self, now_ms: float) -> None:
        """Checks the invariants that hold for a complete run; the host calls it once, at the end."""
        self.check_deadlines(now_ms)
        self._report(self.disconnected_clients.violation_of_run())

    # Discovery

    def on_endpoint_notified(self, at_ms: float, node: str, server: str, state: EndpointState) -> None:
        """Records that a node has received the state of a server."""
        self.steps += 1
        self.endpoint_knowledge.on_notified(at_ms, node, server, state)

    def on_discovery_updated(
        self, at_ms: float, node: str, server: str, state: EndpointState, within_ms: float = PROPAGATION_MS
    ) -> None:
        """Records that a node can poll the state of a server, which counts as known `within_ms` later."""
        self.steps += 1
        self.endpoint_knowledge.on_available(at_ms + within_ms, node, server, state)

    def on_discovery_replaced(self, node: str) -> None:
        """Records that a node changes to another discovery agent.

        The host then reports the endpoints of the new agent by `on_discovery_updated`.
        """
        self.endpoint_knowledge.on_discovery_replaced(node)

    # Servers

    def on_server_started(
        self, at_ms: float, server: str, capacity: float, call_work_ms: float = DEFAULT_CALL_WORK_MS
    ) -> None:
        """Handles the start of a server; `capacity` is the ms of work that it completes per ms when warm."""
        self.slow_start.start(at_ms, server, capacity, call_work_ms)

    def on_server_removed(self, server: str) -> None:
        """Records that a server has gone for good."""
        self.slow_start.remove(server)

    def on_work_received(
        self, at_ms: float, server: str, work_ms: float, node: str = "", request_id: str = ""
    ) -> bool:
        """Handles work that has reached a server. Returns False if it overloads a server in slow start."""
        self.steps += 1
        result = self.slow_start.add_work(at_ms, server, work_ms)
        if result.violation is not None:
            invariant = Invariant.SLOW_START_WORK
            self.record_violation(Violation(invariant, at_ms, node, request_id, server, result.violation))
        return not result.is_overloaded

    def on_call_received(self, at_ms: float, server: str, node: str, request_id: str) -> None:
        """Handles a call that has reached a server, if all calls of the host cause about the same work."""
        self.steps += 1
        call = Call(at_ms, self.endpoint_knowledge.knows_start(at_ms, node, server))
        description = self.slow_start.violation_of_call(server, call)
        if description is not None:
            invariant = Invariant.SLOW_START_CALLS
            self.record_violation(Violation(invariant, at_ms, node, request_id, server, description))

    def slow_start_load(self, server: str) -> float:
        """Returns the recent work of a server in slow start as a fraction of its limit; 0 if it is warm."""
        return self.slow_start.load(server)
