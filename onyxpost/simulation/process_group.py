"""Processes of this program by name: started with logs of their own, signalled, and ended by their id."""

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

STOP_TIMEOUT_SECONDS = 5.0  # after SIGTERM, before SIGKILL
NANOSECONDS_PER_MS = 1e6


class ProcessChange(StrEnum):
    """What happened to a process; the values stand in files of recorded runs."""

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
    """Where processes write."""

    PER_INCARNATION = auto()  # standard output to NAME.N.log, standard error to NAME.N.err, N from 1
    APPENDED = auto()  # both to NAME.log, which is continued when the name is started again


def ignore_change(name: str, change: ProcessChange) -> None:
    """The observer of a group whose changes nobody records."""


class ProcessGroup:
    """Processes of this program, at most one of each name at a time.

    Args:
        folder: where the processes' logs are written.
        on_change: is called with the name and each change.
        log_files: whether each incarnation has logs of its own.
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
        """Starts `python ARGUMENTS`; a process of the same name must have ended before.

        Args:
            name: the process's name in this group.
            arguments: of the interpreter, as in `-m onyxpost serve`.
            environment: variables in addition to those of this process.
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
        """Whether the process was started and has not ended; a paused one runs."""
        process = self.processes.get(name)
        return process is not None and process.returncode is None

    def is_paused(self, name: str) -> bool:
        """Whether the process is stopped by SIGSTOP."""
        return name in self.paused

    def run_queue_wait_ms(self, name: str) -> float:
        """How long the process's main thread has waited for a core; 0 where the system keeps no count."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/schedstat").read_bytes()
        except OSError:
            return 0.0
        return int(text.split()[1]) / NANOSECONDS_PER_MS

    def pause(self, name: str) -> bool:
        """Sends SIGSTOP; False if the process does not run, is paused or was told to terminate."""
        if not self.is_running(name) or name in self.paused | self.terminating:
            return False
        self.paused.add(name)
        self.processes[name].send_signal(signal.SIGSTOP)
        self.on_change(name, ProcessChange.PAUSED)
        return True

    def resume(self, name: str) -> None:
        """Sends SIGCONT to a process that is paused."""
        if name not in self.paused:
            return
        self.paused.discard(name)
        if self.is_running(name):
            self.on_change(name, ProcessChange.RESUMED)
            self.processes[name].send_signal(signal.SIGCONT)

    async def kill(self, name: str) -> bool:
        """Sends SIGKILL and waits for the end; False if the process had ended before."""
        if not self.is_running(name):
            return False
        self.paused.discard(name)
        self.on_change(name, ProcessChange.KILLED)
        process = self.processes[name]
        process.kill()
        await process.wait()
        return True

    async def terminate(self, name: str) -> None:
        """Sends SIGTERM and waits for the end; kills the process if it does not end in time."""
        if not self.is_running(name) or name in self.terminating:
            return
        self.resume(name)
        self.terminating.add(name)
        self.on_change(name, ProcessChange.TERMINATING)
        process = self.processes[name]
        process.terminate()
        try:
            exit_code = await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)
            if exit_code != -signal.SIGKILL:  # else a fault killed it before it could exit
                self.on_change(name, ProcessChange.EXITED if exit_code == 0 else ProcessChange.CRASHED)
        except TimeoutError:
            self.on_change(name, ProcessChange.STOP_TIMED_OUT)
            await self.kill(name)
        finally:
            self.terminating.discard(name)

    async def terminate_all(self) -> None:
        """Terminates all processes at once, and waits for all of them."""
        await asyncio.gather(*(self.terminate(name) for name in list(self.processes)))

    async def kill_all(self) -> None:
        """Kills what still runs, also after an interrupt; reports no changes."""
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
