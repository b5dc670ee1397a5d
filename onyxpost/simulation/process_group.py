"""Starts named processes of this program with log files, sends them signals, and stops them by process id."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from enum import Enum, StrEnum, auto
from pathlib import Path
from typing import IO, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

STOP_TIMEOUT_SECONDS = 5.0  # from SIGTERM to SIGKILL
NANOSECONDS_PER_MS = 1e6


class ProcessChange(StrEnum):
    """A change of the state of a process; the values are stored in the files of recorded runs."""

    STARTED = "started"
    SERVING = "serving"
    PAUSED = "stopped"
    RESUMED = "continued"
    KILLED = "killed"
    TERMINATING = "terminated"
    EXITED = "left"
    CRASHED = "crashed"
    STOP_TIMED_OUT = "overstayed"


class LogFiles(Enum):
    """The log files to which processes write."""

    PER_INCARNATION = auto()  # standard output to NAME.N.log, standard error to NAME.N.err, N from 1
    APPENDED = auto()  # both to NAME.log, to which each incarnation appends


def ignore_change(name: str, change: ProcessChange) -> None:
    """Does nothing; the default observer of a process group."""


class ProcessGroup:
    """Processes of this program, at most one of each name at a time.

    Args:
        folder: folder of the log files.
        on_change: called with the name of a process and its change.
        log_files: whether each incarnation of a process has its own log files.
    """

    def __init__(
        self,
        folder: Path,
        on_change: Callable[[str, ProcessChange], None] = ignore_change,
        log_files: LogFiles = LogFiles.PER_INCARNATION,
    ) -> None:
        self.folder = folder
        self.on_change = on_change
        self.log_files = log_files
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.incarnations: dict[str, int] = {}
        self.paused: set[str] = set()
        self.terminating: set[str] = set()

    async def start(
        self, name: str, arguments: Sequence[str], environment: dict[str, str] | None = None
    ) -> None:
        """Starts `python ARGUMENTS`; an earlier process of the same name must have ended.

        Args:
            name: name of the process in this group.
            arguments: arguments of the interpreter, as in `-m onyxpost serve`.
            environment: environment variables in addition to those of this process.
        """
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        with contextlib.ExitStack() as stack:
            output, errors = self._open_logs(name, stack)
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                *arguments,
                stdout=output,
                stderr=errors,
                stdin=asyncio.subprocess.DEVNULL,
                env=dict(os.environ) | (environment or {}),
                start_new_session=True,
            )
        self.on_change(name, ProcessChange.STARTED)

    def is_running(self, name: str) -> bool:
        """Whether the process was started and has not ended; a paused process counts as running."""
        process = self.processes.get(name)
        return process is not None and process.returncode is None

    def is_paused(self, name: str) -> bool:
        """Whether the process is stopped by SIGSTOP."""
        return name in self.paused

    def run_queue_wait_ms(self, name: str) -> float:
        """How long the process's main thread has waited for a CPU; 0 if the system does not report it."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/schedstat").read_bytes()
        except OSError:
            return 0.0
        return int(text.split()[1]) / NANOSECONDS_PER_MS

    def pause(self, name: str) -> bool:
        """Sends SIGSTOP; returns False if the process is not running, is paused, or was sent SIGTERM."""
        if not self.is_running(name) or name in self.paused | self.terminating:
            return False
        self.paused.add(name)
        self.processes[name].send_signal(signal.SIGSTOP)
        self.on_change(name, ProcessChange.PAUSED)
        return True

    def resume(self, name: str) -> None:
        """Sends SIGCONT if the process is paused."""
        if name not in self.paused:
            return
        self.paused.discard(name)
        if self.is_running(name):
            self.on_change(name, ProcessChange.RESUMED)
            self.processes[name].send_signal(signal.SIGCONT)

    async def kill(self, name: str) -> bool:
        """Sends SIGKILL and waits for the exit; returns False if the process was not running."""
        if not self.is_running(name):
            return False
        self.paused.discard(name)
        self.on_change(name, ProcessChange.KILLED)
        process = self.processes[name]
        process.kill()
        await process.wait()
        return True

    async def terminate(self, name: str) -> None:
        """Sends SIGTERM and waits for the exit; kills the process if it does not exit in time."""
        if not self.is_running(name) or name in self.terminating:
            return
        self.resume(name)
        self.terminating.add(name)
        self.on_change(name, ProcessChange.TERMINATING)
        process = self.processes[name]
        process.terminate()
        try:
            exit_code = await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)
            if exit_code != -signal.SIGKILL:  # a fault that killed the process has been reported already
                self.on_change(name, ProcessChange.EXITED if exit_code == 0 else ProcessChange.CRASHED)
        except TimeoutError:
            self.on_change(name, ProcessChange.STOP_TIMED_OUT)
            await self.kill(name)
        finally:
            self.terminating.discard(name)

    async def terminate_all(self) -> None:
        """Terminates all processes concurrently, and waits for their exits."""
        await asyncio.gather(*(self.terminate(name) for name in list(self.processes)))

    async def kill_all(self) -> None:
        """Kills all running processes without reporting changes; for cleanup, also after an interrupt."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()

    def _open_logs(self, name: str, stack: contextlib.ExitStack) -> tuple[IO[bytes], IO[bytes]]:
        if self.log_files is LogFiles.APPENDED:
            log = stack.enter_context((self.folder / f"{name}.log").open("ab"))
            return log, log
        path = self.folder / f"{name}.{self.incarnations[name]}.log"
        output = stack.enter_context(path.open("wb"))
        errors = stack.enter_context(path.with_suffix(".err").open("wb"))
        return output, errors
