"""Slow start at one node, or at nodes in step: how requests are spread while servers warm up."""

from __future__ import annotations

from onyxpost.core.types import AttemptResult
from tests.policy.gateway_host import Host


def test_a_server_that_warms_up_gets_its_share_although_others_are_known_to_be_quick() -> None:
    host = Host(servers=4, warmup_ms=20000.0)
    sent: list[str] = []
    for index in range(400):
        if index == 100:
            host.update_endpoints(
                *(host.endpoint(n) for n in range(3)), host.endpoint(3, started_at=host.now)
            )
            sent.clear()
        ((_, request_id, server, _),) = host.arrive(customer=f"c{index}")
        sent.append(server)
        host.run(25.0)
        host.end(request_id, AttemptResult.OK)
    assert sent.count("s3") in range(5, 50)  # of 300 requests; an even share of a warm server is 75


def test_nodes_do_not_all_send_to_a_new_server_when_half_of_the_warm_ones_are_removed() -> None:
    hosts = [Host(servers=8, node_index=index, node_count=30, warmup_ms=60000.0) for index in range(30)]
    ticks = []
    for tick in range(400):
        for host in hosts:
            if tick in (300, 360):  # a new server starts, then four of the eight warm ones are removed
                warm_endpoints = [host.endpoint(i) for i in range(8 if tick == 300 else 4)]
                host.update_endpoints(
                    *warm_endpoints, host.endpoint(8, started_at=host.now - 25.0 * (tick - 300))
                )
            is_due = tick % 4 == host.gateway.state.options.node_index % 4
            for decision, request_id, *target in host.arrive(customer=f"c{tick}") if is_due else []:
                if decision == "attempt":
                    ticks += [tick] * (target[0] == "s8")
                    host.end(request_id, AttemptResult.OK)
            host.run(25.0)
    before, after = (sum(1 for tick in ticks if first <= tick < first + 20) for first in (340, 360))
    assert before > 0
    assert after <= 3 * before  # each remaining warm server gets twice as many requests


def test_without_warm_servers_those_that_warm_up_take_turns() -> None:
    host = Host(servers=4, warmup_ms=20000.0)
    sent: list[str] = []
    for tick in range(300):
        if tick == 100:
            host.update_endpoints(*(host.endpoint(n, started_at=host.now) for n in range(4)))
        for decision, request_id, *target in host.arrive():
            if decision == "attempt":
                sent += [target[0]] * (tick >= 100)
                host.end(request_id, AttemptResult.OK)
        host.run(25.0)
    assert len(sent) > 100
    assert max(sent.count(f"s{n}") for n in range(4)) < 0.4 * len(sent)


def test_a_server_whose_clock_is_ahead_becomes_warm_in_its_time() -> None:
    # Guards against a server that is held at a cold share for good, as its start lies in this node's future.
    host = Host(servers=3, warmup_ms=10000.0)
    ahead = host.endpoint(3, started_at=host.now + 3_600_000.0)
    host.update_endpoints(ahead, complete=False)
    slow_start = host.gateway.selection.slow_start
    server = host.gateway.state.servers.known["s3"]
    assert slow_start.warmup_fraction(host.now, server) == 0.2
    assert slow_start.warmup_fraction(host.now + 5000.0, server) == 0.5
    assert slow_start.warmup_fraction(host.now + 10000.0, server) == 1.0
