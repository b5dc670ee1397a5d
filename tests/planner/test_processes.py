"""Planners and forwarders as processes that communicate over loopback."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost.simulation import planner_cluster
from onyxpost.simulation.errors import InvalidSimulationInputError
from onyxpost.simulation.planner_cluster import ClusterOptions, check_options

if TYPE_CHECKING:
    from pathlib import Path

# Many processes are started here, which would disturb tests that measure time.
pytestmark = pytest.mark.xdist_group("quiet")


def read_logs(folder: Path) -> dict[str, list[dict[str, Any]]]:
    """Returns the log lines of each process, by the name of the process."""
    return {
        path.stem: [json.loads(line) for line in path.read_text().splitlines()]
        for path in folder.glob("*.log")
    }


def test_killed_planners_leave_no_request_unanswered_and_the_hard_limit_holds(tmp_path: Path) -> None:
    options = ClusterOptions(
        forwarders=4,
        planners=2,
        seconds=6.0,
        request_rate=60.0,
        customers=3,
        kill_interval_seconds=1.5,
        quota_rate=20.0,
        quota_burst=60.0,
    )
    figures, violations = planner_cluster.run(options, tmp_path)
    assert violations == []
    assert figures.get("lost", 0) == 0, figures
    assert figures.get("aborted", 0) == 0, figures
    assert figures["passed"] > 50
    assert figures["kills"] > 0
    logs = read_logs(tmp_path)
    assert len(logs) == 6
    events = [line["event"] for lines in logs.values() for line in lines]
    assert events.count("fault") == 0
    assert "planner connected" in events
    assert "leases recovered" in events
    assert [logs[f"f{index}"][-1]["phase"] for index in range(4)] == ["stopped"] * 4


@pytest.mark.parametrize(
    "changes", [{"seconds": 1e9}, {"forwarders": 0}, {"planners": 99}, {"request_rate": 0.0}], ids=str
)
def test_options_out_of_range_are_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidSimulationInputError):
        check_options(ClusterOptions()._replace(**changes))
