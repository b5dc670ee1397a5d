"""A node whose file names too little memory does not start."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

from onyxpost.edge.errors import InsufficientMemoryError
from tests.process.operator_errors import assert_reported_in_one_line


def test_a_memory_that_cannot_hold_the_node_is_reported_in_one_line(tmp_path: Path) -> None:
    fields = json.loads(Path("deploy/example-node.json").read_text())
    fields["limits"]["memory_mb"] = 16
    path = tmp_path / "node.json"
    path.write_text(json.dumps(fields))
    completed = subprocess.run(
        [sys.executable, "-m", "onyxpost", "serve"],
        env=dict(os.environ) | {"EDGE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=30.0,
    )
    assert completed.returncode == 2
    assert_reported_in_one_line(completed.stderr, "", "limits.memory_mb", InsufficientMemoryError)
