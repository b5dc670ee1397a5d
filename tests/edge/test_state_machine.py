"""The state machine without sockets: each request gets exactly one answer, and each attempt ends once.

Events that arrive in the same round, or an exception of the decision maker, could otherwise lead to two
answers or to none.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Any
from unittest import mock

import pytest

from onyxpost.config import deployment
from onyxpost.core.events import AttemptFinished, Event, RequestArrived, RequestCancelled, TimerFired
from onyxpost.core.types import AttemptResult
from onyxpost.edge.messages import (
    AttemptEnded,
    ClientDisconnected,
    ClientRequest,
    CloseAttempt,
    EdgeEvent,
    Effect,
    Endpoint,
    EndpointUpdate,
    FinalAnswer,
    RetireEndpoint,
    SendAnswer,
    SendAttempt,
    UpstreamResponse,
    WithdrawAttempt,
    decode_endpoint_update,
)
from onyxpost.edge.state_machine import EdgeStateMachine
from onyxpost.runtime.log_event import LogEvent
from tests.edge.harness import CLIENT_REQUEST, DEPLOYMENT_SETTINGS, node_fields

if TYPE_CHECKING:
    from collections.abc import Iterable

DEPLOYMENT = deployment.decode_deployment(DEPLOYMENT_SETTINGS)
ENDPOINT_FIELDS = {"instanceId": "s0", "hostPort": "127.0.0.1:9", "lifecycle": "up"}
ENDPOINT = Endpoint("s0", ("127.0.0.1", 9))
RESPONSE = UpstreamResponse([], b"x")


class ScriptedDecisionMaker:
    """Records all events, and calls the reaction that the test has set for their type."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.reactions: dict[type[Event], Any] = {}

    def handle(self, now: float, events: Iterable[Event], sink: Any) -> None:
        for event in events:
            self.events.append(event)
            if reaction := self.reactions.get(type(event)):
                reaction(sink, *event)

    def attempt_ends(self) -> list[AttemptFinished]:
        return [event for event in self.events if isinstance(event, AttemptFinished)]


class Node:
    """A state machine with one server, which gets the first attempt of each request."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.decisions = ScriptedDecisionMaker()
        self.machine = EdgeStateMachine(DEPLOYMENT, self.decisions)
        self.step(decode_endpoint_update(node_fields(("127.0.0.1", 9))["known"]))
        self.decisions.reactions[RequestArrived] = self.send_to_s0

    def send_to_s0(self, sink: Any, request_id: str, deadline: float, *_: Any) -> None:
        sink.start_attempt(request_id, "s0", deadline - self.now, inf)

    def step(self, *events: EdgeEvent) -> list[Effect]:
        return self.machine.step(self.now, events)

    def request(self, connection_id: int = 1, trace_id: str = "t") -> ClientRequest:
        return CLIENT_REQUEST._replace(connection_id=connection_id, received_at=self.now, trace_id=trace_id)

    def send_request(self) -> SendAttempt:
        """Passes a request to the state machine and returns the resulting attempt."""
        (attempt,) = self.step(self.request())
        assert isinstance(attempt, SendAttempt)
        return attempt


def effect_names(effects: list[Effect]) -> list[str]:
    return [
        effect.outcome.value if isinstance(effect, SendAnswer) else type(effect).__name__
        for effect in effects
    ]


def decode_update(generation: int, **changed: str) -> EndpointUpdate:
    return decode_endpoint_update({"generation": generation, "instances": [ENDPOINT_FIELDS | changed]})


@pytest.fixture
def node() -> Node:
    return Node()


@pytest.mark.parametrize("has_attempt_ended_first", [True, False])
def test_a_client_that_disconnects_as_its_attempt_ends_is_no_fault(
    node: Node, has_attempt_ended_first: bool
) -> None:
    """If the attempt ends first, the decision maker retries, and must get the end of the retry as well."""
    attempt = node.send_request()

    def retry_unless_settled(sink: Any, request_id: str, *rest: Any) -> None:
        settled = rest[3]
        if not settled:
            sink.start_attempt(request_id, "s0", 500.0, inf)

    node.decisions.reactions[AttemptFinished] = retry_unless_settled
    events: list[EdgeEvent] = [
        AttemptEnded(attempt.attempt_id, AttemptResult.LOST, 5.0),
        ClientDisconnected(1),
    ]
    effects = effect_names(node.step(*(events if has_attempt_ended_first else reversed(events))))
    assert "LogEvent" not in effects
    assert "SendAttempt" not in effects
    node.step()
    settled = [end.is_request_finished for end in node.decisions.attempt_ends()]
    assert settled == ([False, True] if has_attempt_ended_first else [True])
    assert node.machine.requests.by_id == {}
    assert not node.machine.has_deferred_events


def test_only_the_first_complete_response_is_forwarded(node: Node) -> None:
    first = node.send_request().attempt_id
    for _ in range(2):
        node.machine.sink.start_attempt("1", "s0", 500.0, inf)
    effects = node.step(AttemptEnded(first, AttemptResult.OK, 5.0, RESPONSE))
    assert effect_names(effects) == ["passed", "WithdrawAttempt", "WithdrawAttempt"]
    assert node.step(AttemptEnded(first + 1, AttemptResult.OK, 9.0, RESPONSE)) == []
    node.step(AttemptEnded(first + 2, AttemptResult.LOST, 9.0))
    ends = [(end.result, end.is_request_finished) for end in node.decisions.attempt_ends()]
    assert ends == [(AttemptResult.OK, True), (AttemptResult.OK, True), (AttemptResult.LOST, True)]
    requests = node.machine.requests
    assert (requests.by_id, requests.by_trace_id, requests.attempts_in_flight) == ({}, {}, {})


def test_the_end_of_an_attempt_is_reported_once(node: Node) -> None:
    attempt = node.send_request()
    for _ in range(2):
        node.step(AttemptEnded(attempt.attempt_id, AttemptResult.LOST, 5.0))
    assert len(node.decisions.attempt_ends()) == 1


def test_a_disconnected_client_gets_no_answer(node: Node) -> None:
    attempt_id = node.send_request().attempt_id
    node.decisions.reactions[RequestCancelled] = lambda sink, request_id: sink.cancel_attempt(request_id, 0)
    effects = node.step(ClientDisconnected(1))
    assert effects == [WithdrawAttempt(attempt_id), CloseAttempt(attempt_id)]
    assert node.step(AttemptEnded(attempt_id, AttemptResult.OK, 5.0, RESPONSE)) == []


def test_an_attempt_times_out_shortly_before_its_client(node: Node) -> None:
    assert node.send_request().timeout_ms == 900.0 - DEPLOYMENT.tick_ms


def test_an_attempt_for_an_answered_request_is_not_sent(node: Node) -> None:
    node.send_request()
    node.step(ClientDisconnected(1))
    node.machine.sink.begin_round(node.now)
    node.machine.sink.start_attempt("1", "s0", 500.0, inf)
    assert node.machine.sink.effects == []
    node.step()
    last = node.decisions.events[-1]
    assert isinstance(last, AttemptFinished)
    assert last[:3] == ("1", 1, AttemptResult.UNUSED)


def test_a_server_that_has_moved_or_is_removed_is_retired(node: Node) -> None:
    assert node.step(decode_update(5, hostPort="127.0.0.1:8")) == [RetireEndpoint(ENDPOINT)]
    moved = Endpoint("s0", ("127.0.0.1", 8))
    assert node.step(decode_update(6, lifecycle="removed")) == [RetireEndpoint(moved)]
    assert node.machine.endpoints.by_server == {}
    assert node.step(node.request()) == []  # the attempt ends as unused
    node.step()
    last = node.decisions.events[-1]
    assert isinstance(last, AttemptFinished)
    assert last[:3] == ("1", 0, AttemptResult.UNUSED)


def test_a_draining_server_accepts_no_attempts_until_it_is_back(node: Node) -> None:
    assert node.step(decode_update(5, lifecycle="draining")) == [RetireEndpoint(ENDPOINT)]
    assert not node.machine.endpoints.accepts_attempts(ENDPOINT)
    node.step(decode_update(6))
    assert node.machine.endpoints.accepts_attempts(ENDPOINT)


def test_a_second_request_with_a_pending_trace_id_is_aborted_unsent(node: Node) -> None:
    node.step(node.request())
    aborted = SendAnswer(2, FinalAnswer.ABORTED)
    assert node.step(node.request(connection_id=2)) == [aborted]


def test_a_failing_decision_is_logged_and_the_next_request_is_still_decided(node: Node) -> None:
    def fail_for_the_first(sink: Any, request_id: str, *_: Any) -> None:
        if request_id == "1":
            raise ZeroDivisionError("here")
        sink.reject(request_id, 30.0)

    node.decisions.reactions[RequestArrived] = fail_for_the_first
    effects = node.step(node.request(), node.request(connection_id=2, trace_id="u"))
    assert effect_names(effects) == ["LogEvent", "aborted", "denied"]
    assert isinstance(effects[0], LogEvent)
    assert "ZeroDivisionError: here" in effects[0].fields["cause"]


def test_a_decision_maker_that_always_fails_does_not_stop_the_node(node: Node) -> None:
    with mock.patch.object(node.decisions, "handle", side_effect=ZeroDivisionError):
        assert effect_names(node.step(node.request())) == ["LogEvent"]
        node.now += 900.0
        assert effect_names(node.step(TimerFired(0))) == ["LogEvent", "LogEvent", "aborted"]


def test_an_undecided_request_is_aborted_at_its_deadline(node: Node) -> None:
    node.decisions.reactions[RequestArrived] = lambda *_: None
    node.step(node.request())
    node.now += 850.0
    assert node.step(TimerFired(0)) == []
    node.now += 50.0
    assert effect_names(node.step(TimerFired(0))) == ["LogEvent", "aborted"]
    node.step()
    assert node.decisions.events[-1] == RequestCancelled("1")


@pytest.mark.parametrize(
    ("frontend", "result", "pause_ms", "effect"),
    [
        ("toll", AttemptResult.CANCELLED, 0.0, "aborted"),
        ("toll", AttemptResult.LOST, 9_999.0, "aborted"),
        ("toll", AttemptResult.LOST, 10_000.0, "SendAttempt"),
        ("toll", AttemptResult.NO_CONNECTION, 0.0, "SendAttempt"),
        ("check", AttemptResult.CANCELLED, 0.0, "SendAttempt"),
    ],
)
def test_a_trace_id_that_comes_again_after_its_client_left_is_not_executed_twice(
    node: Node, frontend: str, result: AttemptResult, pause_ms: float, effect: str
) -> None:
    # Guards against a second execution of a request that may have been executed when its client left.
    (attempt,) = node.step(node.request()._replace(frontend=frontend))
    assert isinstance(attempt, SendAttempt)
    node.step(ClientDisconnected(1))
    node.step(AttemptEnded(attempt.attempt_id, result, 5.0))
    node.now += pause_ms
    assert effect_names(node.step(node.request(connection_id=2)._replace(frontend=frontend))) == [effect]


def test_a_trace_id_may_come_again_after_its_client_got_the_response(node: Node) -> None:
    (attempt,) = node.step(node.request()._replace(frontend="toll"))
    assert isinstance(attempt, SendAttempt)
    node.step(AttemptEnded(attempt.attempt_id, AttemptResult.OK, 5.0, RESPONSE))
    assert effect_names(node.step(node.request()._replace(frontend="toll"))) == ["SendAttempt"]
