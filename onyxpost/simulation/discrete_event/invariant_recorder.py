"""Reports the events of a run to the invariant checker, which no other module here calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.simulation.invariants import AttemptRecord, InvariantChecker

if TYPE_CHECKING:
    from collections.abc import Iterator

    from onyxpost.core.types import EndpointState, Frontend, Plan, SlowStartPolicy
    from onyxpost.simulation.discrete_event.event_queue import EventQueue
    from onyxpost.simulation.discrete_event.scenario import Scenario
    from onyxpost.simulation.invariants import Violation

TOLERANCE_MS = 50.0  # tolerance of the checker for each limit in time


def zone_name(zone: int) -> str:
    """Returns the name of a zone in endpoint updates."""
    return f"h{zone}"


class InvariantRecorder:
    """Reports events to an invariant checker, stamped with the simulated time."""

    def __init__(
        self, clock: EventQueue, scenario: Scenario, slow_start: SlowStartPolicy, plans: list[Plan]
    ) -> None:
        self._clock = clock
        self._checker = InvariantChecker(
            drain_grace_ms=scenario.drain_grace_ms,
            slow_start=slow_start,
            plans=plans,
            tolerance_ms=TOLERANCE_MS,
            max_request_units=max(workload.units for workload in scenario.workloads),
        )

    @property
    def violations(self) -> list[Violation]:
        """All violations found so far."""
        return self._checker.violations

    def violation_records(self) -> Iterator[dict[str, Any]]:
        """Yields the violations in the format of result files."""
        for violation in self._checker.violations:
            yield violation.to_record()

    # Requests

    def request_received(
        self, node: str, request_id: str, frontend: Frontend, customer: str, units: int, deadline_ms: float
    ) -> None:
        """Records that a node received a client's request."""
        self._checker.on_request_received(
            self._clock.now_ms, node, request_id, frontend, customer, units, deadline_ms
        )

    def attempt_sent(self, node: str, request_id: str, server: str, zone: int, cell: int, plan: str) -> None:
        """Records that the last byte of an attempt arrived at a server."""
        now_ms = self._clock.now_ms
        self._checker.on_attempt_sent(
            AttemptRecord(node, request_id, server, now_ms, now_ms, zone_name(zone), cell, plan)
        )

    def attempt_ended(self, node: str, request_id: str, sent_index: int, never_executed: bool) -> None:
        """Records the result of an attempt; `sent_index` counts the sent attempts of its request from 0."""
        self._checker.on_attempt_ended(self._clock.now_ms, node, request_id, sent_index, never_executed)

    def request_answered(self, node: str, request_id: str, outcome: str) -> None:
        """Records that a node sent the final answer to a request."""
        self._checker.on_final_answer(self._clock.now_ms, node, request_id, outcome)

    def client_disconnected(self, node: str, request_id: str) -> None:
        """Records that a client disconnected before it was answered."""
        self._checker.on_client_disconnected(self._clock.now_ms, node, request_id)

    def request_forgotten(self, node: str, request_id: str) -> None:
        """Ends the tracking of a request that is finished and has no attempt in flight."""
        self._checker.forget_request(node, request_id)

    # Nodes and servers

    def node_killed(self, node: str) -> None:
        """Records that a node was killed."""
        self._checker.on_node_killed(self._clock.now_ms, node)

    def endpoint_notified(self, node: str, server: str, state: EndpointState) -> None:
        """Records that a node was notified of the state of a server."""
        self._checker.on_endpoint_notified(self._clock.now_ms, node, server, state)

    def server_started(self, server: str, capacity: float) -> None:
        """Records a server's start; `capacity` is the work in ms that it executes in 1 ms after warm-up."""
        self._checker.on_server_started(self._clock.now_ms, server, capacity)

    def server_removed(self, server: str) -> None:
        """Records that a server died."""
        self._checker.on_server_removed(server)

    def work_received(self, server: str, work_ms: float, node: str, request_id: str) -> bool:
        """Records work that arrived at a server; returns False if it overloads a server in slow start."""
        return self._checker.on_work_received(self._clock.now_ms, server, work_ms, node, request_id)

    # Time

    def check_deadlines(self) -> None:
        """Checks the invariants that can be violated by the passing of time alone."""
        self._checker.check_deadlines(self._clock.now_ms)

    def finish(self) -> None:
        """Runs the checks that are due at the end of a run."""
        self._checker.finish(self._clock.now_ms)

    def max_slow_start_load(self) -> float:
        """Returns the highest load of a server in slow start, as a fraction of the load that overloads it."""
        checker = self._checker
        return max((checker.slow_start_load(server) for server in checker.slow_start.servers), default=0.0)
