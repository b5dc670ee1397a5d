"""Records the data of `test_http_bytes.py` and `test_simulator_wire.py`.

Run on the build to be compatible with, from the repository's root:

    python -m tests.compatibility.record_http_and_wire

An existing file is never overwritten, because later builds have to agree with the recorded data.
"""

from __future__ import annotations

import json
import lzma
from collections import Counter
from typing import TYPE_CHECKING

from tests.compatibility import test_http_bytes as http
from tests.compatibility import test_simulator_wire as wire
from tests.compatibility.http_cases import (
    denied_cases,
    forwarded_cases,
    health_cases,
    passed_cases,
    refused_cases,
)
from tests.compatibility.simulator_scenarios import SCENARIOS, Scenario
from tests.compatibility.simulator_world import World

if TYPE_CHECKING:
    from pathlib import Path

    from tests.compatibility.http_requests import Fields


def record_http(path: Path) -> None:
    """Writes the HTTP exchanges; equal node files are stored once, and exchanges refer to them by index."""
    cases: dict[str, Fields] = {}
    for group in (forwarded_cases, passed_cases, denied_cases, refused_cases, health_cases):
        for name, exchange in group():
            assert name not in cases, name
            cases[name] = exchange | {"expected": http.play(exchange)}
    node_files: list[Fields] = []
    for exchange in cases.values():
        if exchange["node_file"] not in node_files:
            node_files.append(exchange["node_file"])
        exchange["node_file"] = node_files.index(exchange["node_file"])
    with path.open("x") as file:
        json.dump(
            {"node_files": node_files, "cases": cases},
            file,
            indent=None,
            separators=(",", ":"),
            sort_keys=True,
        )
        file.write("\n")


def record_wire(path: Path, scenario: Scenario) -> None:
    """Writes the transcript of one scenario, and prints counts of its events, actions and log lines."""
    world = World(scenario)
    world.run()
    with path.open("xb") as file:
        file.write(lzma.compress(b"".join(world.program.lines), preset=9))
    logged = [
        a["Emit"]["what"]
        for line in world.program.lines[1::2]
        for a in json.loads(line)["output"]
        if "Emit" in a
    ]
    print(path.name, path.stat().st_size, "bytes,", len(world.program.lines) // 2, "batches")
    print(" ", dict(wire.count(world.program.lines[0::2], "news")))
    print(" ", dict(wire.count(world.program.lines[1::2], "output")))
    print(" ", Counter(" ".join(token for token in text.split() if token.isalpha()) for text in logged))


def main() -> None:
    """Records the files that do not exist yet."""
    if not http.DATA.exists():
        record_http(http.DATA)
    for name, scenario in SCENARIOS.items():
        path = wire.DATA / f"simulator_wire_{name}.jsonl.xz"
        if not path.exists():
            record_wire(path, scenario)


if __name__ == "__main__":
    main()
