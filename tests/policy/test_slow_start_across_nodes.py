"""Slow start across many independent gateways, which do not coordinate their requests."""

from random import Random

from onyxpost.core.types import AttemptResult
from tests.policy.gateway_host import Host

TICK_MS = 25.0
WINDOW_TICKS = 80  # number of ticks in two seconds


def test_first_attempts_of_thirty_nodes_reach_a_starting_server_evenly() -> None:
    """Nodes that send their first attempts at the same time would overload a server that has just started.

    Ten servers start at once. Each of them should get about three attempts from all nodes together in any two
    seconds, spread evenly.
    """
    hosts = [Host(servers=10, node_index=index, node_count=30, warmup_ms=1e9) for index in range(30)]
    rng = Random(5)
    attempt_ticks: dict[str, list[int]] = {f"s{index}": [] for index in range(10, 20)}
    for host in hosts:
        host.gateway.random.seed = rng.getrandbits(48)  # independent random numbers, as in separate processes
        host.run(5000.0)
    for tick in range(360):
        for host in hosts:
            if tick == 60:
                host.update_endpoints(
                    *(host.endpoint(i, started_at=host.now if i >= 10 else 0.0) for i in range(20))
                )
            host.run(TICK_MS)
        for host in hosts[tick % 10 :: 10]:
            for decision, request_id, *target in host.arrive(customer=f"c{tick}"):
                if decision == "attempt":
                    attempt_ticks.get(target[0], []).append(tick)
                    host.end(request_id, AttemptResult.OK)
    window_counts = [
        [sum(first <= tick < first + WINDOW_TICKS for tick in ticks) for first in range(60, 280)]
        for ticks in attempt_ticks.values()
    ]
    mean = sum(map(sum, window_counts)) / sum(map(len, window_counts))
    assert mean > 3.0
    assert max(map(max, window_counts)) <= mean + 3.0


def test_a_new_cluster_does_not_take_its_first_request_for_its_usual_rate() -> None:
    sent_to_starting_servers = 0
    for index in range(100):
        host = Host(servers=0, node_index=index, node_count=100)
        host.gateway.random.seed = index * 7919
        host.update_endpoints(*(host.endpoint(i, started_at=host.now if i >= 5 else 0.0) for i in range(10)))
        host.run(900.0)
        ((_, _, server, _),) = host.arrive(customer=f"c{index}")
        sent_to_starting_servers += int(server[1:]) >= 5
    # The share of five starting servers at a fifth of their capacity, beside five warm ones, is 17 of 100.
    assert sent_to_starting_servers in range(5, 30)
