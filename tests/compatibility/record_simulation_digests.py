"""Records digests of the bytes, numbers and times that the deterministic simulations produce.

Run once on the build to be compatible with:

    python -m tests.compatibility.record_simulation_digests

An existing record is never overwritten. For each simulation, one class or function (`*_digests.py`,
`network_observer.py`) reads values from the code under test. If an attribute is renamed, only this class or
function changes, and the recorded data stays as it is.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from tests.compatibility.deterministic_digests import CLUSTER_SEEDS, cluster_record
from tests.compatibility.discrete_event_digests import emulator_record, emulator_runs
from tests.compatibility.leadership_digests import FAILOVER_RUNS, LEASE_SEEDS, failover_record, lease_record
from tests.compatibility.rollout_digests import rollout_record, rollout_runs

if TYPE_CHECKING:
    from tests.compatibility.event_digest import Record

DATA = Path(__file__).parent / "data" / "simulation_digests.json"


def all_records() -> dict[str, dict[str, Record]]:
    """Returns the records of all runs, by simulation and run."""
    return {
        "cluster": {str(seed): cluster_record(seed) for seed in CLUSTER_SEEDS},
        "emulator": {f"{name}/{seed}": emulator_record(name, seed) for name, seed in emulator_runs()},
        "lease": {str(seed): lease_record(seed) for seed in LEASE_SEEDS},
        "failover": {f"{fault}/{seed}": failover_record(fault, seed) for fault, seed in FAILOVER_RUNS},
        "rollout": {f"{name}/{seed}": rollout_record(name, seed) for name, seed in rollout_runs()},
    }


def write_new(path: Path, records: dict[str, dict[str, Record]]) -> None:
    """Writes the records to a new file; raises FileExistsError if the file exists."""
    path.parent.mkdir(exist_ok=True)
    with path.open("x", encoding="utf-8") as file:
        json.dump(records, file, indent=1)
        file.write("\n")


def main(path: Path = DATA) -> int:
    """Records all runs and returns 0; returns 1 if the file exists."""
    if path.exists():
        print(f"{path} exists and is not overwritten", file=sys.stderr)
        return 1
    write_new(path, all_records())
    return 0


if __name__ == "__main__":
    sys.exit(main(*map(Path, sys.argv[1:2])))
