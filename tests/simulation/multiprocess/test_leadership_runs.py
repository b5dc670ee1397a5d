"""The error of a failed run contains what its process and its nodes wrote to standard error."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.simulation.multiprocess.leadership_runs import ScriptFailedError, run_in_process
from tests.simulation.multiprocess.run_script import INPUT_FILE

if TYPE_CHECKING:
    from pathlib import Path

TIMEOUT_SECONDS = 60.0


def test_failed_run_shows_standard_error_of_the_script_and_of_the_nodes(tmp_path: Path) -> None:
    (tmp_path / INPUT_FILE).write_text("no script")
    (tmp_path / "n1.1.err").write_text("Address already in use")
    with pytest.raises(ScriptFailedError) as failure:
        run_in_process(tmp_path / "scenario.toml", tmp_path, TIMEOUT_SECONDS)
    message = str(failure.value)
    assert "exit status 1" in message
    assert INPUT_FILE in message.splitlines()[-3]
    assert message.endswith("--- n1.1.err\nAddress already in use")
