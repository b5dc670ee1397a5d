"""Runs a node or planner as a process: reads its file, logs to standard output, returns an exit code."""

from __future__ import annotations

import asyncio
import signal
import sys
from enum import IntEnum
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from onyxpost.errors import InvalidInputError, ListenError, OperatingSystemError, OperatorError
from onyxpost.runtime.structured_log import StructuredLog

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


class ExitCode(IntEnum):
    """Exit codes of a node or planner."""

    STOPPED = 0  # stopped by a signal
    UNAVAILABLE = 1  # an address cannot be bound, or the system refused another resource
    INVALID_FILE = 2


class ProcessConfig(Protocol):
    """The values that the config files of nodes and planners have in common."""

    @property
    def name(self) -> str:
        """The name of the node or planner, written in each of its log lines."""

    @property
    def log_level(self) -> str:
        """The lowest level that is logged."""


ConfigT = TypeVar("ConfigT", bound=ProcessConfig)


def run_process(
    read_config: Callable[[], ConfigT], run: Callable[[ConfigT, StructuredLog], Coroutine[Any, Any, int]]
) -> int:
    """Runs a process until a signal stops it and returns its exit code, see `ExitCode`.

    Args:
        read_config: reads the config file. Raises InvalidInputError.
        run: runs the process with its config and log, and returns its exit code.
    """
    _handle_early_signals()
    try:
        config = read_config()
    except InvalidInputError as err:
        return _print_error(err, ExitCode.INVALID_FILE)
    log = StructuredLog(config.name, config.log_level)
    log.capture_library_logs()
    try:
        return asyncio.run(run(config, log))
    except InvalidInputError as err:  # a file that the process itself writes is damaged
        return _print_error(err, ExitCode.INVALID_FILE)
    except ListenError as err:
        return _print_error(err, ExitCode.UNAVAILABLE)
    except OSError as err:
        return _print_error(OperatingSystemError(str(err), config.name), ExitCode.UNAVAILABLE)


def _handle_early_signals() -> None:
    """Handles signals until the event loop has installed its own handlers.

    SIGTERM ends the process. SIGHUP is blocked, not ignored: the file may change after it was read, so a
    reload that is requested in the meantime has to take place once the event loop runs.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(ExitCode.STOPPED))


def _print_error(err: OperatorError, exit_code: ExitCode) -> int:
    print(f"onyxpost: {err.to_line()}", file=sys.stderr)
    return exit_code
