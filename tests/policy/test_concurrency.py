"""The concurrency limit: when it is decreased and increased, and which attempts count towards it."""

from __future__ import annotations

from onyxpost.core.types import AttemptResult
from tests.policy.gateway_host import Host, kinds


def test_late_answers_everywhere_decrease_the_limit() -> None:
    host = Host()
    for _ in range(80):
        sent = host.arrive()
        host.run(50.0)
        if sent[0][0] == "attempt":
            host.end(sent[0][1], AttemptResult.EXPIRED, 990.0)
    admitted = [kinds(host.arrive())[0] for _ in range(12)].count("attempt")
    assert admitted < 5


def test_a_decreased_limit_increases_again_while_load_is_shed() -> None:
    host = Host()
    host.gateway.selection.concurrency.limit = 0.2
    host.gateway.shedder.rejection_probability = 0.5
    host.run(5000.0)
    assert host.gateway.selection.concurrency.limit > 0.6


def test_a_few_heavy_requests_do_not_decrease_the_limit() -> None:
    host = Host()
    before = host.gateway.selection.concurrency.limit
    for index in range(40):
        sent = host.arrive()
        host.run(50.0)
        host.end(sent[0][1], AttemptResult.OK, 900.0 if index % 8 == 0 else 50.0)
    assert host.gateway.selection.concurrency.limit >= before


def test_a_lost_zone_takes_its_capacity_out_of_the_limit() -> None:
    host = Host(servers=4)
    before = [kinds(host.arrive())[0] for _ in range(40)].count("attempt")
    host = Host(servers=4)
    lost = list(host.gateway.state.servers.known)[:2]
    while not all(host.gateway.state.servers.known[name].circuit_breaker.successes_to_close for name in lost):
        ((_, request_id, server, _),) = host.arrive()
        host.end(request_id, AttemptResult.LOST if server in lost else AttemptResult.OK, settled=True)
    after = [kinds(host.arrive())[0] for _ in range(40)].count("attempt")
    assert after < 0.7 * before


def test_lost_answers_beside_many_quick_ones_do_not_decrease_the_limit() -> None:
    host = Host(servers=4)
    before = host.gateway.selection.concurrency.limit
    for index in range(300):
        request_id = host.arrive()[0][1]
        host.end(
            request_id,
            *((AttemptResult.EXPIRED, 1000.0) if index % 5 < 2 else (AttemptResult.OK, 50.0)),
            settled=True,
        )
        host.run(25.0)
    assert host.gateway.selection.concurrency.limit >= before


def test_attempts_past_their_latency_objective_take_up_no_capacity() -> None:
    host = Host(servers=4, late_weight=0.2)
    while kinds(host.arrive()) == ["attempt"]:
        pass
    host.run(1200.0)
    assert kinds(host.arrive()) == ["attempt"]
