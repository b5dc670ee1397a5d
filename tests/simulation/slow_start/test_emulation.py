"""The slow-start emulation measures the load of servers during warmup; equal seeds give equal results."""

import pytest

from onyxpost.core.types import SlowStartPolicy
from onyxpost.simulation.slow_start.case import SlowStartCase
from onyxpost.simulation.slow_start.emulation import SlowStartEmulation
from onyxpost.simulation.slow_start.measure import Job, format_row, run_job
from onyxpost.simulation.slow_start.server_model import ServerModel

NOW_MS = 1.0
WORK_MS = 1.0
WINDOW_MS = 1000.0


@pytest.fixture
def server() -> ServerModel:
    """A server in slow start that can serve nine requests in a window; its limits are 17 and 21 requests."""
    policy = SlowStartPolicy(0.2, 10_000.0, 2.0, WINDOW_MS)
    return ServerModel("s", NOW_MS, SlowStartCase(1, requests_per_second=22.5, policy=policy))


def receive(server: ServerModel, count: int, now_ms: float = NOW_MS) -> None:
    for _ in range(count):
        server.receive(now_ms, WORK_MS)


@pytest.mark.parametrize(
    ("count", "is_above_two_deviations", "is_overloaded"),
    [(17, False, False), (18, True, False), (21, True, False), (22, True, True)],
)
def test_load_above_two_and_above_three_deviations_is_counted(
    server: ServerModel, count: int, is_above_two_deviations: bool, is_overloaded: bool
) -> None:
    receive(server, count)
    assert (server.warmup_load.ratio > 1.0, server.warmup_load.is_overloaded) == (
        is_above_two_deviations,
        is_overloaded,
    )


def test_requests_before_the_window_are_not_counted(server: ServerModel) -> None:
    receive(server, 22)
    receive(server, 1, NOW_MS + WINDOW_MS + 1.0)
    assert len(server.arrivals_ms) == 1


def test_equal_seeds_give_equal_results_and_others_do_not() -> None:
    case = SlowStartCase(3, servers=4, requests_per_second=5.0, restarted_fraction=0.5)
    first = run_job(Job(case, 1))
    assert first == run_job(Job(case, 1))
    assert first != run_job(Job(case, 2))
    assert len(first.warmup_loads) == 2


def test_restarts_with_half_of_the_nodes_running_overload_no_server() -> None:
    case = SlowStartCase(12, servers=6, restarted_fraction=0.5, running_fraction=0.5)
    emulation = SlowStartEmulation(case, 3)
    result = emulation.run()
    loads = result.warmup_loads
    assert len(emulation.nodes) == 6
    assert any(node.incarnation > 1 for node in emulation.nodes)
    assert len(loads) == 4
    assert not [load for load in loads if load.ratio > 1.0 or load.is_overloaded]
    assert min(load.ratio for load in loads) > 0.0  # every new server received requests
    assert "| 4 | 0 | 0 |" in format_row("small", [result])
