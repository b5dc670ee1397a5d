"""Processes are started with log files, paused, killed and terminated, and their changes are reported."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from onyxpost.simulation.process_group import LogFiles, ProcessChange, ProcessGroup
from tests.edge.event_loop import in_event_loop

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.xdist_group("quiet")  # starts processes, which would disturb tests that measure time

SLEEP = ["-c", "import time; print('started', flush=True); time.sleep(60)"]
PRINT = ["-c", "import os, sys; print(os.environ['NAME']); print('error', file=sys.stderr)"]


async def wait_for_end(group: ProcessGroup, name: str) -> None:
    """Waits until the process has exited without a signal."""
    await asyncio.wait_for(group.processes[name].wait(), 20.0)


@in_event_loop
async def test_each_incarnation_has_logs_of_its_own(tmp_path: Path) -> None:
    group = ProcessGroup(tmp_path)
    for value in ("first", "second"):
        await group.start("n0", PRINT, {"NAME": value})
        await wait_for_end(group, "n0")
    assert (tmp_path / "n0.1.log").read_text() == "first\n"
    assert (tmp_path / "n0.2.log").read_text() == "second\n"
    assert (tmp_path / "n0.2.err").read_text() == "error\n"


@in_event_loop
async def test_appended_log_has_output_and_errors_of_all_incarnations(tmp_path: Path) -> None:
    group = ProcessGroup(tmp_path, log_files=LogFiles.APPENDED)
    for value in ("first", "second"):
        await group.start("n0", PRINT, {"NAME": value})
        await wait_for_end(group, "n0")
    assert sorted((tmp_path / "n0.log").read_text().split()) == ["error", "error", "first", "second"]


@in_event_loop
async def test_changes_are_reported_in_their_order(tmp_path: Path) -> None:
    changes: list[tuple[str, ProcessChange]] = []
    group = ProcessGroup(tmp_path, lambda name, change: changes.append((name, change)))
    await group.start("n0", SLEEP)
    assert group.pause("n0")
    assert group.is_paused("n0")
    assert not group.pause("n0")
    group.resume("n0")
    assert await group.kill("n0")
    assert not await group.kill("n0")
    assert not group.is_running("n0")
    assert changes == [
        ("n0", ProcessChange.STARTED),
        ("n0", ProcessChange.PAUSED),
        ("n0", ProcessChange.RESUMED),
        ("n0", ProcessChange.KILLED),
    ]


@pytest.mark.parametrize(
    ("handler", "change"),
    [("sys.exit(0)", ProcessChange.EXITED), ("sys.exit(3)", ProcessChange.CRASHED)],
    ids=["exit code 0", "exit code 3"],
)
@in_event_loop
async def test_exit_code_after_sigterm_distinguishes_an_exit_from_a_crash(
    tmp_path: Path, handler: str, change: ProcessChange
) -> None:
    changes: list[ProcessChange] = []
    group = ProcessGroup(tmp_path, lambda _, change: changes.append(change))
    program = f"import signal, sys, time; signal.signal(15, lambda *_: {handler}); print(1, flush=True)"
    await group.start("n0", ["-c", f"{program}; time.sleep(60)"])
    async with asyncio.timeout(20.0):
        while not (tmp_path / "n0.1.log").read_text():
            await asyncio.sleep(0.01)
    await group.terminate_all()
    assert changes == [ProcessChange.STARTED, ProcessChange.TERMINATING, change]


@in_event_loop
async def test_kill_all_leaves_no_process(tmp_path: Path) -> None:
    group = ProcessGroup(tmp_path)
    for name in ("n0", "n1"):
        await group.start(name, SLEEP)
    group.pause("n1")
    await group.kill_all()
    assert [group.is_running(name) for name in ("n0", "n1")] == [False, False]
