"""Reports the events of a run to the checker of invariants; no other module calls the checker."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.simulation.invariants import AttemptRecord, InvariantChecker

if TYPE_CHECKING:
    from collections.abc import Iterator

    from onyxpost.core.types import EndpointState, Frontend, Plan, SlowStartPolicy
    from onyxpost.simulation.discrete_event.event_queue import EventQueue
    from onyxpost.simulation.discrete_event.scenario import Scenario
    from onyxpost.simulation.invariants import Violation

TOLERANCE_MS = 50.0  # that the checker allows beside each limit in time


def zone_name(zone: int) -> str:
    """Returns the name of a zone in endpoint updates."""
    return f"h{zone}"


class InvariantRecorder:
    """Feeds one checker with the events of a run, at the simulated time."""

    def __init__(
        self, clock: EventQueue, scenario: Scenario, slow_start: SlowStartPolicy, plans: list[Plan]
    ) -> None:
        self._clock = clock
        self._checker = InvariantChecker(
            drain_grace_ms=scenario.drain_grace_ms,
            slow_start=slow_start,
            plans=plans,
            tolerance_ms=TOLERANCE_MS,
            max_request_units=max(work.units for work in scenario.work),
        )

    @property
    def violations(self) -> list[Violation]:
        """All violations so far."""
        return self._checker.violations

    def violation_records(self) -> Iterator[dict[str, Any]]:
        """Returns the violations as result files have them."""
        for violation in self._checker.violations:
            yield violation.to_record()

    # Requests

    def request_received(
        self, node: str, request_id: str, frontend: Frontend, customer: str, units: int, deadline_ms: float
    ) -> None:
        """A node received a client's request."""
        self._checker.on_request_received(
            self._clock.now_ms, node, request_id, frontend, customer, units, deadline_ms
        )

    def attempt_sent(self, node: str, request_id: str, server: str, zone: int, cell: int, plan: str) -> None:
        """The last byte of an attempt arrived at a server."""
        now_ms = self._clock.now_ms
        self._checker.on_attempt_sent(
            AttemptRecord(node, request_id, server, now_ms, now_ms, zone_name(zone), cell, plan)
        )

    def attempt_ended(self, node: str, request_id: str, sent_index: int, never_executed: bool) -> None:
        """An attempt that was sent has its result; it was the `sent_index`-th of its request, from 0."""
        self._checker.on_attempt_ended(self._clock.now_ms, node, request_id, sent_index, never_executed)

    def request_answered(self, node: str, request_id: str, outcome: str) -> None:
        """A node sent the final answer of a request."""
        self._checker.on_final_answer(self._clock.now_ms, node, request_id, outcome)

    def client_disconnected(self, node: str, request_id: str) -> None:
        """A client disconnected before its answer."""
        self._checker.on_client_disconnected(self._clock.now_ms, node, request_id)

    def request_forgotten(self, node: str, request_id: str) -> None:
        """A request is answered and has no attempt in flight."""
        self._checker.forget_request(node, request_id)

    # Nodes and servers

    def node_killed(self, node: str) -> None:
        """A node died."""
        self._checker.on_node_killed(self._clock.now_ms, node)

    def endpoint_notified(self, node: str, server: str, state: EndpointState) -> None:
        """A node received the state of a server."""
        self._checker.on_endpoint_notified(self._clock.now_ms, node, server, state)

    def server_started(self, server: str, capacity: float) -> None:
        """A server started; `capacity` is the work in ms that it executes in 1 ms when it is warm."""
        self._checker.on_server_started(self._clock.now_ms, server, capacity)

    def server_removed(self, server: str) -> None:
        """A server died."""
        self._checker.on_server_removed(server)

    def work_received(self, server: str, work_ms: float, node: str, request_id: str) -> bool:
        """Work arrived at a server; returns whether the server can bear it while it warms up."""
        return self._checker.on_work_received(self._clock.now_ms, server, work_ms, node, request_id)

    # Time

    def check_deadlines(self) -> None:
        """Checks the invariants that time alone can violate."""
        self._checker.check_deadlines(self._clock.now_ms)

    def finish(self) -> None:
        """Checks what is judged at the end of a run."""
        self._checker.finish(self._clock.now_ms)

    def max_slow_start_load(self) -> float:
        """Returns the largest work at a server that warms up, as a share of what overloads it."""
        checker = self._checker
        return max((checker.slow_start_load(server) for server in checker.slow_start.servers), default=0.0)
