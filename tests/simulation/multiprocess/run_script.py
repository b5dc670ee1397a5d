"""Runs a fault script: `python -m tests.simulation.multiprocess.run_script SCENARIO FOLDER`.

The script is read from `input.json` in the folder. The run writes its history there, and its result line to
`result.json`.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec

from onyxpost.simulation.multiprocess.fault_script import decode_script
from onyxpost.simulation.multiprocess.scenario import load_scenario, with_size
from onyxpost.simulation.multiprocess.scenario_runner import ScenarioRunner

INPUT_FILE = "input.json"
RESULT_FILE = "result.json"


def main(scenario_name: str, folder: Path) -> None:
    """Runs the script in the folder, and writes history and result there."""
    script = decode_script((folder / INPUT_FILE).read_bytes(), INPUT_FILE)
    scenario = with_size(load_scenario(scenario_name), script.nodes, script.seconds)
    result = asyncio.run(ScenarioRunner(scenario, script, folder).run())
    (folder / RESULT_FILE).write_bytes(msgspec.json.encode(result.to_result_line()))


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]))
