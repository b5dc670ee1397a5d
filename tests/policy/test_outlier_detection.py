"""Which servers outlier detection ejects."""

from __future__ import annotations

from onyxpost.core.types import AttemptResult
from tests.policy.gateway_host import Host


def test_a_server_that_fails_quickly_is_ejected() -> None:
    host = Host()
    ((_, request_id, server, _),) = host.arrive()
    host.end(request_id, AttemptResult.ERROR, 2.0)
    sent = host.arrive()
    host.end(sent[0][1], AttemptResult.ERROR if sent[0][2] == server else AttemptResult.OK, 2.0)
    assert server not in [d[2] for _ in range(6) for d in host.arrive() if d[0] == "attempt"]


def test_a_full_server_is_not_ejected() -> None:
    host = Host()
    ((_, request_id, server, _),) = host.arrive()
    ((_, _, other, _),) = host.end(request_id, AttemptResult.FULL, 300.0)
    assert other != server
    assert host.arrive()[0][2] == server


def test_an_answer_lost_now_and_then_ejects_no_server() -> None:
    host = Host(servers=1)
    for index in range(100):
        ((_, request_id, _, _),) = host.arrive()
        host.end(request_id, AttemptResult.LOST if index % 10 == 9 else AttemptResult.OK, settled=True)
    assert [s.circuit_breaker.successes_to_close for s in host.gateway.state.servers.known.values()] == [0]
