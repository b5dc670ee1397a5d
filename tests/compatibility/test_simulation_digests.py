"""The deterministic simulations reproduce the recorded bytes and times exactly.

A changed decision, an additional random draw or another order of events changes the digest of a run.
"""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING

import pytest

from tests.compatibility import record_simulation_digests as recorder
from tests.compatibility.deterministic_digests import CLUSTER_SEEDS, cluster_record
from tests.compatibility.discrete_event_digests import emulator_record, emulator_runs
from tests.compatibility.leadership_digests import FAILOVER_RUNS, LEASE_SEEDS, failover_record, lease_record
from tests.compatibility.rollout_digests import rollout_record, rollout_runs

if TYPE_CHECKING:
    from pathlib import Path

    from tests.compatibility.event_digest import Record

SEEDS_PER_TEST = 5


def chunks(seeds: range) -> list[range]:
    """Splits seeds into parts small enough to be distributed evenly over the test processes."""
    return [seeds[start : start + SEEDS_PER_TEST] for start in range(0, len(seeds), SEEDS_PER_TEST)]


def chunk_name(seeds: range) -> str:
    """Returns a readable test id: the first and the last seed."""
    return f"{seeds[0]}-{seeds[-1]}"


@functools.cache
def recorded() -> dict[str, dict[str, Record]]:
    """Returns the recorded results by simulation and run."""
    found: dict[str, dict[str, Record]] = json.loads(recorder.DATA.read_text(encoding="utf-8"))
    return found


def test_the_record_holds_every_pinned_run() -> None:
    """Each tested run is recorded, and each recorded run is tested."""
    assert {kind: list(runs) for kind, runs in recorded().items()} == {
        "cluster": [str(seed) for seed in range(100)],
        "emulator": [f"{name}/{seed}" for name, seed in emulator_runs()],
        "lease": [str(seed) for seed in range(30)],
        "failover": [f"{fault}/{seed}" for fault, seed in FAILOVER_RUNS],
        "rollout": [f"{name}/{seed}" for name, seed in rollout_runs()],
    }


@pytest.mark.parametrize("seeds", chunks(CLUSTER_SEEDS), ids=chunk_name)
def test_cluster_of_edge_nodes(seeds: range) -> None:
    """Covers all bytes, connections, datagrams and exits of complete edge nodes under scripted faults."""
    for seed in seeds:
        assert cluster_record(seed) == recorded()["cluster"][str(seed)], f"seed {seed}"


@pytest.mark.parametrize(("name", "seed"), emulator_runs())
def test_emulator(name: str, seed: int) -> None:
    """Covers all attempts, answers and peer messages of a simulated cluster, and its exact figures."""
    assert emulator_record(name, seed) == recorded()["emulator"][f"{name}/{seed}"]


@pytest.mark.parametrize("seeds", chunks(LEASE_SEEDS), ids=chunk_name)
def test_lease_random_walk(seeds: range) -> None:
    """Covers all messages, grants and committed writes of one lease.

    Messages are delayed, duplicated and lost.
    """
    for seed in seeds:
        assert lease_record(seed) == recorded()["lease"][str(seed)], f"seed {seed}"


@pytest.mark.parametrize(("fault", "seed"), FAILOVER_RUNS)
def test_lease_failover(fault: str, seed: int) -> None:
    """Covers all bytes between nodes during a failover, and the times at which leases change hands."""
    assert failover_record(fault, seed) == recorded()["failover"][f"{fault}/{seed}"]


@pytest.mark.parametrize(("name", "seed"), rollout_runs())
def test_rollout_verdict(name: str, seed: int) -> None:
    """Covers the decision on a simulated rollout, its time, and the counters on which it is based."""
    assert rollout_record(name, seed) == recorded()["rollout"][f"{name}/{seed}"]


def test_the_recorder_does_not_overwrite(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Neither `main` nor `write_new` replaces an existing record."""
    path = tmp_path / "digests.json"
    path.write_text("kept")
    assert recorder.main(path) == 1
    assert "not overwritten" in capsys.readouterr().err
    with pytest.raises(FileExistsError):
        recorder.write_new(path, {})
    assert path.read_text() == "kept"
