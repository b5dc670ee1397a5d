"""Control of the rejection probability by latency."""

from __future__ import annotations

from onyxpost.core.types import AttemptResult
from tests.policy.gateway_host import Host


def answer_requests(host: Host, periods: int, latency_ms: float) -> None:
    for _ in range(periods):
        sent = [d for d in host.arrive() if d[0] == "attempt"]
        host.run(500.0)
        host.now += latency_ms
        for _, request_id, *_ in sent:
            host.end(request_id, AttemptResult.OK, latency_ms)


def test_the_rejection_probability_rises_while_answers_are_late_and_returns_to_zero() -> None:
    host = Host(late_weight=0.2)
    answer_requests(host, 20, 2500.0)
    assert host.gateway.shedder.rejection_probability > 0.2
    answer_requests(host, 60, 1.0)
    assert host.gateway.shedder.rejection_probability == 0.0
