"""The decisions of a gateway under routing rules. Server i of `Host` is in zone i % 3 and cell i % 2."""

from __future__ import annotations

from typing import Any
from unittest import mock

import pytest

from onyxpost.core.events import RoutingRulesChanged
from onyxpost.core.types import AttemptResult, DeduplicationScope, EndpointState, Idempotency, Plan
from onyxpost.policy.retry_dispatch import RetryDispatcher
from onyxpost.policy.routing_constraints import RoutingConstraints
from tests.policy.gateway_host import Host, kinds
from tests.rollout.rules import compiled_rules, rule_preferring_zones

PREFER_H1_THEN_H2 = {
    "frontends": ["f"],
    "servers": {"zones": ["h1"], "fallbacks": [{"zones": ["h2"]}, "any"]},
}


def host_with_rules(*rules: dict[str, Any], **options: Any) -> Host:
    host = Host(**options)
    host.handle(RoutingRulesChanged(compiled_rules(*rules)))
    return host


def used_servers(host: Host, requests: int = 30) -> set[str]:
    """The servers to which requests of different customers are sent, each of which succeeds."""
    servers = set()
    for index in range(requests):
        for decision, request, *fields in host.arrive(customer=f"c{index}"):
            if decision == "attempt":
                servers.add(fields[0])
                host.end(request, AttemptResult.OK)
        host.run(25.0)
    return servers


def attempts(decisions: list[tuple[Any, ...]]) -> list[tuple[Any, ...]]:
    return [decision for decision in decisions if decision[0] == "attempt"]


def test_a_drained_zone_gives_way_to_the_fallback_and_is_used_again() -> None:
    host = host_with_rules(PREFER_H1_THEN_H2, servers=6)
    assert used_servers(host) == {"s1", "s4"}
    host.update_endpoints(
        host.endpoint(1, EndpointState.DRAINING), host.endpoint(4, EndpointState.DRAINING), complete=False
    )
    assert used_servers(host) == {"s2", "s5"}
    host.update_endpoints(*(host.endpoint(index) for index in (0, 3)))
    assert used_servers(host) == {"s0", "s3"}
    host.update_endpoints(*(host.endpoint(index) for index in range(6)))
    assert used_servers(host) == {"s1", "s4"}


def test_a_failing_zone_gives_way_to_the_fallback() -> None:
    host = host_with_rules(rule_preferring_zones("h1"), servers=3)
    ((_, request, server, _),) = host.arrive()
    assert server == "s1"
    assert "s1" in [decision[2] for decision in attempts(host.decisions)]
    host.end(request, AttemptResult.NO_CONNECTION)
    assert "s1" not in used_servers(host, 5)


def test_a_server_in_slow_start_gets_no_more_than_its_share() -> None:
    host = host_with_rules(rule_preferring_zones("h0"), servers=4, warmup_ms=20_000.0)
    host.update_endpoints(
        host.endpoint(0, started_at=host.now), *(host.endpoint(index) for index in (1, 2, 3))
    )
    servers = []
    for index in range(200):
        ((_, request, server, _),) = host.arrive(customer=f"c{index}")
        servers.append(server)
        host.run(25.0)
        host.end(request, AttemptResult.OK)
    assert set(servers) == {"s0", "s3"}
    assert servers.count("s0") in range(3, 40)


def test_a_server_in_slow_start_that_is_the_only_one_left_gets_no_more_than_its_share() -> None:
    host = host_with_rules(rule_preferring_zones("h0"), servers=4, warmup_ms=20_000.0)
    host.update_endpoints(
        host.endpoint(0, started_at=host.now), *(host.endpoint(index) for index in (1, 2, 3))
    )
    for index in range(200):
        ((_, request, _, _),) = host.arrive(customer=f"c{index}")
        host.run(25.0)
        host.end(request, AttemptResult.OK)
    host.update_endpoints(host.endpoint(0, started_at=host.now))
    decisions = [decision for index in range(60) for decision in host.arrive(customer=f"d{index}")]
    assert len(attempts(decisions)) <= 2


def test_a_retry_stays_in_its_deduplication_scope_although_the_rules_prefer_another() -> None:
    host = host_with_rules(
        PREFER_H1_THEN_H2,
        servers=6,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        late_weight=0.2,
    )
    host.update_endpoints(*(host.endpoint(index) for index in (0, 2, 3, 5)))  # zone h1 is lost
    ((_, request, server, _),) = host.arrive()
    host.update_endpoints(*(host.endpoint(index) for index in range(6)))  # zone h1 is available again
    assert server in {"s2", "s5"}
    ((_, _, retried_at, _),) = attempts(host.end(request, AttemptResult.LOST))
    assert {server, retried_at} == {"s2", "s5"}


def check_rules_of_the_first_attempt_apply_to_retries() -> None:
    host = host_with_rules(rule_preferring_zones("h1"), servers=6)
    ((_, request, server, _),) = host.arrive()
    host.handle(RoutingRulesChanged(compiled_rules(rule_preferring_zones("h2"), version=2)))
    assert host.arrive()[0][2] in {"s2", "s5"}
    ((_, _, retried_at, _),) = attempts(host.end(request, AttemptResult.LOST))
    assert {server, retried_at} == {"s1", "s4"}


def test_the_rules_of_the_first_attempt_apply_to_retries_and_new_rules_to_new_requests() -> None:
    check_rules_of_the_first_attempt_apply_to_retries()


def test_retries_under_new_rules_are_detected() -> None:
    constraint_for = RoutingConstraints.constraint_for
    retry = RetryDispatcher.retry
    seen_constraints: list[RoutingConstraints] = []

    def record_constraints(self: RoutingConstraints, request: Any) -> Any:
        seen_constraints.append(self)
        return constraint_for(self, request)

    def retry_under_new_rules(self: RetryDispatcher, now: float, request: Any, sink: Any) -> bool:
        request.constraint = constraint_for(seen_constraints[-1], request)
        return retry(self, now, request, sink)

    with (
        mock.patch.object(RoutingConstraints, "constraint_for", record_constraints),
        mock.patch.object(RetryDispatcher, "retry", retry_under_new_rules),
        pytest.raises(AssertionError),
    ):
        check_rules_of_the_first_attempt_apply_to_retries()


def test_rules_that_do_not_take_effect_are_detected() -> None:
    def keep_old_rules(self: Any, _now: float, event: RoutingRulesChanged, _sink: Any) -> None:
        self._state.rules = self._state.rules or event.rules

    with (
        mock.patch.object(RoutingConstraints, "on_routing_rules_changed", keep_old_rules),
        pytest.raises(AssertionError),
    ):
        check_rules_of_the_first_attempt_apply_to_retries()


def test_a_request_that_waited_for_its_hard_limit_is_served_under_the_rules_at_its_admission() -> None:
    host = host_with_rules(
        rule_preferring_zones("h1"), servers=6, plan=Plan("p", 1000.0, 9000.0, 0, 1.0, 10.0, 100.0)
    )
    assert kinds(host.arrive(set_size=1)) == []
    host.handle(RoutingRulesChanged(compiled_rules(rule_preferring_zones("h2"), version=2)))
    (server,) = {decision[2] for decision in attempts(host.run(400.0))}
    assert server in {"s2", "s5"}


def test_rules_limit_the_number_of_attempts() -> None:
    host = host_with_rules({"attempts": 2}, servers=6)
    ((_, request, *_),) = host.arrive()
    assert kinds(host.end(request, AttemptResult.LOST)) == ["attempt"]
    assert kinds(host.end(request, AttemptResult.LOST, attempt_index=1)) == ["reject"]


@pytest.mark.parametrize(
    ("rules", "expected"), [([], 16), ([{"window": 0.5}], 8), ([rule_preferring_zones("h1")], 6)]
)
def test_less_capacity_and_fewer_servers_admit_fewer_requests(
    rules: list[dict[str, Any]], expected: int
) -> None:
    host = host_with_rules(*rules, servers=6)
    admitted = [kinds(host.arrive(customer=f"c{index}"))[0] for index in range(40)].count("attempt")
    assert admitted == expected
    # A rejected request must not count as sent, or a server in slow start would receive too many requests.
    assert host.gateway.selection.slow_start.attempts_sent.totals(host.now).requests == admitted
