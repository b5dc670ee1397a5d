"""Violations of each invariant of edge nodes are found, and effects of faults are excused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from onyxpost.config import deployment
from onyxpost.core.types import EndpointState
from onyxpost.simulation.deterministic.deployment import MAX_REQUEST_UNITS
from onyxpost.simulation.invariants import Invariant
from onyxpost.simulation.multiprocess.checker import check_history
from onyxpost.simulation.multiprocess.edge_invariants import EdgeInvariants, EdgeLimits
from onyxpost.simulation.multiprocess.history import (
    DISCONNECTED,
    ConnectionRefused,
    ServerStarted,
    UnexpectedResponse,
)
from onyxpost.simulation.multiprocess.node_log import RequestOverdue, UnhandledError
from onyxpost.simulation.multiprocess.process_invariants import PROCESS_FAILURES, no_process_failures
from onyxpost.simulation.process_group import ProcessChange
from onyxpost.simulation.settings import DEPLOYMENT_SETTINGS
from tests.simulation.multiprocess.events import (
    answered,
    attempt_forwarded,
    attempt_received,
    lag,
    not_executed,
    notified,
    paused,
    process,
    request_sent,
    timed_out,
    unanswered,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.simulation.multiprocess.history import HistoryEvent

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time

SEED = 9
DEPLOYMENT = deployment.decode_deployment(DEPLOYMENT_SETTINGS | {"ordinal": 0, "n_instances": 3})
EDGE_INVARIANTS = EdgeInvariants(
    EdgeLimits(
        DEPLOYMENT.frontends,
        DEPLOYMENT.plans,
        DEPLOYMENT.slow_start,
        DEPLOYMENT.drain_grace_ms,
        MAX_REQUEST_UNITS,
    )
)


def violated_invariants(events: Iterable[HistoryEvent]) -> list[str]:
    """Returns the sorted names of violated invariants; all violations must have the seed."""
    violations = check_history(events, (no_process_failures, EDGE_INVARIANTS), SEED)
    assert all(violation.seed == SEED for violation in violations)
    return sorted({violation.invariant for violation in violations})


def burst_beyond_the_hard_limit() -> list[HistoryEvent]:
    """Returns six requests of a customer with a low hard limit, all of them forwarded."""
    return [
        event
        for index in range(6)
        for event in (
            request_sent(index, f"r{index}", "look", "tight"),
            attempt_forwarded(index + 1.0, 0, f"r{index}"),
            answered(index + 9.0, trace=f"r{index}"),
        )
    ]


def attempts_after_clients_disconnected() -> list[HistoryEvent]:
    """Returns three requests that are forwarded long after their clients closed the connection."""
    return [
        event
        for trace in ("r0", "r1", "r2")
        for event in (
            request_sent(0.0, trace),
            unanswered(20.0, DISCONNECTED, trace),
            attempt_forwarded(180.0, 0, trace),
        )
    ]


def calls_to_a_server_that_starts(count: int) -> list[HistoryEvent]:
    """Returns calls that all reach a server 2 ms after its start."""
    started: list[HistoryEvent] = [
        ServerStarted(0.0, server="s0-0", capacity=0.1, work_per_call_ms=20.0),
        notified(0.0, EndpointState.READY),
    ]
    calls: list[HistoryEvent] = [
        event
        for index in range(count)
        for event in (
            request_sent(1.0, f"r{index}"),
            attempt_received(2.0, 0, index, f"r{index}"),
            answered(9.0, trace=f"r{index}"),
        )
    ]
    return started + calls


@pytest.mark.parametrize(
    ("invariant", "events"),
    [
        pytest.param(
            Invariant.ANSWERS, [request_sent(0.0), timed_out(1500.0)], id="no answer before the timeout"
        ),
        pytest.param(
            Invariant.ANSWERS, [request_sent(0.0), unanswered(20.0)], id="connection ended without answer"
        ),
        pytest.param(
            Invariant.ANSWERS, [request_sent(0.0), answered(1290.0)], id="answer after the deadline"
        ),
        pytest.param(
            Invariant.ANSWERS,
            [
                request_sent(0.0),
                answered(9.0),
                UnexpectedResponse(10.0, trace="r1", description="after its answer"),
            ],
            id="bytes after the answer",
        ),
        pytest.param(
            Invariant.ANSWERS,
            [request_sent(0.0), answered(9.0), attempt_forwarded(90.0)],
            id="attempt after the answer",
        ),
        pytest.param(
            Invariant.ANSWERS, [ConnectionRefused(0.0, node="n0", trace="r1")], id="connection refused"
        ),
        pytest.param(
            Invariant.IDEMPOTENCY,
            [request_sent(0.0), attempt_forwarded(1.0), attempt_forwarded(300.0, 1), answered(340.0)],
            id="retry outside of the deduplication scope",
        ),
        pytest.param(
            Invariant.IDEMPOTENCY,
            [request_sent(0.0), attempt_received(1.0), attempt_received(300.0, 1, 2), answered(340.0)],
            id="executed again outside of the deduplication scope",
        ),
        pytest.param(
            Invariant.IDEMPOTENCY,
            [
                request_sent(0.0, frontend="post"),
                attempt_forwarded(1.0),
                attempt_forwarded(700.0, 2),
                answered(740.0),
            ],
            id="retry after the deduplication window",
        ),
        pytest.param(
            Invariant.DRAIN_NOTIFIED,
            [
                notified(0.0, EndpointState.DRAINING),
                request_sent(300.0),
                attempt_forwarded(301.0),
                answered(340.0),
            ],
            id="attempt at a server that drains",
        ),
        pytest.param(Invariant.HARD_LIMITS, burst_beyond_the_hard_limit(), id="burst beyond the hard limit"),
        pytest.param(
            Invariant.DISCONNECTED_CLIENTS,
            attempts_after_clients_disconnected(),
            id="attempts after the client disconnected",
        ),
        pytest.param(
            PROCESS_FAILURES, [UnhandledError(5.0, node="n1", cause="ValueError")], id="unhandled error"
        ),
        pytest.param(
            PROCESS_FAILURES, [process(5.0, ProcessChange.STOP_TIMED_OUT)], id="no exit after SIGTERM"
        ),
    ],
)
def test_violation_is_found_by_the_name_of_its_invariant(invariant: str, events: list[HistoryEvent]) -> None:
    assert violated_invariants(events) == [invariant]


def test_too_many_calls_to_a_starting_server_violate_both_slow_start_limits() -> None:
    assert violated_invariants(calls_to_a_server_that_starts(11)) == [
        Invariant.SLOW_START_WORK,
        Invariant.SLOW_START_CALLS,
    ]


def test_limit_of_calls_is_above_the_limit_of_work() -> None:
    assert violated_invariants(calls_to_a_server_that_starts(10)) == [Invariant.SLOW_START_WORK]


@pytest.mark.parametrize(
    "events",
    [
        pytest.param(
            [
                request_sent(0.0),
                attempt_forwarded(1.0),
                attempt_forwarded(300.0, 2),
                not_executed(9.0),
                answered(340.0),
            ],
            id="retry of an attempt that was not executed",
        ),
        pytest.param([request_sent(0.0), *paused(20.0, 3000.0), answered(1290.0)], id="node paused"),
        pytest.param(
            [
                *paused(20.0, 3000.0),
                notified(50.0, EndpointState.DRAINING),
                request_sent(3100.0),
                attempt_forwarded(3150.0),
                answered(3200.0),
            ],
            id="drain notified while paused",
        ),
        pytest.param(
            [*paused(20.0, 3000.0), RequestOverdue(3001.0, node="n0", request="r1")],
            id="request overdue after a pause",
        ),
        pytest.param(
            [request_sent(0.0), process(30.0, ProcessChange.KILLED), unanswered(30.0)], id="node killed"
        ),
        pytest.param([request_sent(0.0), lag(40.0, 60.0), answered(1290.0)], id="lag of the simulation"),
        pytest.param([request_sent(0.0), lag(900.0, 200.0, "n0"), answered(1290.0)], id="lag of the node"),
        pytest.param(
            [RequestOverdue(0.0, node="n0", request="r1"), lag(30.0, 60.0, "n0")],
            id="request overdue after lag",
        ),
        pytest.param(
            [
                process(0.0, ProcessChange.TERMINATING),
                request_sent(600.0),
                unanswered(610.0),
                process(900.0, ProcessChange.EXITED),
            ],
            id="connection while the node exits",
        ),
    ],
)
def test_effect_of_a_fault_is_no_violation(events: list[HistoryEvent]) -> None:
    assert violated_invariants(events) == []


def test_lag_of_another_node_excuses_no_late_answer() -> None:
    events = [request_sent(0.0), lag(900.0, 200.0, "n1"), answered(1290.0)]
    assert violated_invariants(events) == [Invariant.ANSWERS]


def test_connection_soon_after_sigterm_must_be_answered() -> None:
    events = [
        process(0.0, ProcessChange.TERMINATING),
        request_sent(100.0),
        unanswered(610.0),
        process(900.0, ProcessChange.EXITED),
    ]
    assert violated_invariants(events) == [Invariant.ANSWERS]
