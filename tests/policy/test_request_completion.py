"""Cancellation of attempts in flight, and which results leave a request possibly executed."""

from __future__ import annotations

import pytest

from onyxpost.core.events import RequestCancelled, ResponseStarted
from onyxpost.core.types import AttemptResult
from tests.policy.gateway_host import Host, kinds


def test_attempts_in_flight_are_cancelled_when_the_client_has_gone() -> None:
    host = Host()
    ((_, request_id, _, _),) = host.arrive()
    assert host.handle(RequestCancelled(request_id)) == [("cancel", request_id, 0)]
    assert request_id in host.gateway.state.requests  # the request is kept until its attempt has ended
    host.end(request_id, AttemptResult.CANCELLED, settled=True)
    assert host.gateway.state.requests == {}


def test_a_streamed_response_is_not_cancelled() -> None:
    host = Host()
    ((_, request_id, _, _),) = host.arrive()
    host.handle(ResponseStarted(request_id))
    assert kinds(host.handle(RequestCancelled(request_id))) == []


def test_nothing_is_cancelled_where_the_deployment_does_not_permit_it() -> None:
    host = Host(may_cancel_attempts=False)
    ((_, request_id, _, _),) = host.arrive()
    assert kinds(host.handle(RequestCancelled(request_id))) == []


def test_a_streamed_response_that_is_lost_is_neither_retried_nor_answered_again() -> None:
    host = Host()
    ((_, request_id, _, _),) = host.arrive()
    host.handle(ResponseStarted(request_id))
    assert kinds(host.end(request_id, AttemptResult.LOST)) == []


@pytest.mark.parametrize("result", [result for result in AttemptResult if result is not AttemptResult.OK])
def test_only_a_result_that_proves_it_makes_a_request_certainly_not_executed(result: AttemptResult) -> None:
    host = Host()
    ((_, request_id, _, _),) = host.arrive()
    request = host.gateway.state.requests[request_id]
    assert host.gateway.execution.first_possible_execution(request) is request.attempts[0]
    host.end(request_id, result, settled=True)
    is_possibly_executed = request.attempts[0].possibly_executed
    never_executed = {AttemptResult.FULL, AttemptResult.NO_CONNECTION, AttemptResult.UNUSED}
    assert is_possibly_executed == (result not in never_executed)
