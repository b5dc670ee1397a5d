"""Signals that arrive before the event loop of a node or planner has installed handlers for them.

By default, SIGTERM or SIGHUP during the start kills the process with an exit code that names the signal.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.edge.harness import node_fields

# Runs `python -m onyxpost` and raises a signal while `onyxpost.process` is imported.
RUN_WITH_SIGNAL_ON_IMPORT = """
import runpy, signal, sys

class RaiseSignal:
    def find_spec(self, name, path=None, target=None):
        if name == "onyxpost.process":
            signal.raise_signal(number)

sys.meta_path.insert(0, RaiseSignal())
number = int(sys.argv.pop(1))
runpy.run_module("onyxpost", run_name="__main__", alter_sys=True)
"""
INVALID_FILE_EXIT_CODE = 2


def open_for_writing(pipe: Path, process: subprocess.Popen[bytes]) -> int:
    """Opens the pipe for writing, once the process has opened it for reading."""
    while process.poll() is None:
        with contextlib.suppress(OSError):  # ENXIO until the process has opened the pipe
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
    raise AssertionError("the process ended before it read its file")


@pytest.mark.parametrize("arguments", [["serve"], ["plan", "/nowhere"]])
@pytest.mark.parametrize(
    ("number", "exit_code"), [(signal.SIGTERM, 0), (signal.SIGHUP, INVALID_FILE_EXIT_CODE)]
)
def test_a_signal_while_modules_are_imported(
    arguments: list[str], number: signal.Signals, exit_code: int
) -> None:
    """SIGTERM ends the process with exit code 0; after SIGHUP it continues and reports the missing file."""
    result = subprocess.run(
        [sys.executable, "-c", RUN_WITH_SIGNAL_ON_IMPORT, str(int(number)), *arguments],
        env={**os.environ, "EDGE_CONFIG": "/nowhere"},
        stderr=subprocess.DEVNULL,
        check=False,
    )
    assert result.returncode == exit_code


def test_sighup_before_the_event_loop_waits_for_it_and_the_file_is_read_again(tmp_path: Path) -> None:
    """A rollout may restart nodes and move discovery, so the file that was read may be outdated already.

    The pipe delays the start until the file is replaced and SIGHUP is sent. If SIGHUP were lost, the node
    would continue with the old address of discovery.
    """
    pipe = tmp_path / "node.json"
    newer_file = tmp_path / "newer.json"
    os.mkfifo(pipe)
    newer_file.write_text(json.dumps(node_fields(discovery="127.0.0.1:2")))
    with subprocess.Popen(
        [sys.executable, "-m", "onyxpost", "serve"],
        env={**os.environ, "EDGE_CONFIG": str(pipe)},
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdout is not None
        write_descriptor = open_for_writing(pipe, process)
        newer_file.replace(pipe)
        process.send_signal(signal.SIGHUP)
        os.write(write_descriptor, json.dumps(node_fields()).encode())
        os.close(write_descriptor)
        lines = []
        for line in process.stdout:
            lines.append(json.loads(line))
            if lines[-1].get("phase") == "serving":
                process.terminate()
        assert process.wait() == 0
    assert "127.0.0.1:2" in [line.get("discovery") for line in lines]
