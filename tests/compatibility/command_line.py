"""Runs commands of the program for the compatibility tests, and translates recorded refusals.

Only this module knows how a command is run, how the use of a deprecated name is announced, and which recorded
texts have been reworded since. The recorded data keeps the texts of the build from which it was recorded.
"""

from __future__ import annotations

import contextlib
import os
import re
import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING, Any, NamedTuple

from click.testing import CliRunner

from onyxpost import cli

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

# Placeholders in recorded commands: the folder of the command's files, and a port of 127.0.0.1 in use.
FOLDER = "FOLDER"
HELD_PORT = "HELD_PORT"
PROCESS_TIMEOUT_SECONDS = 60.0

# The line that a deprecated command or option may write to standard error, once and before all other output.
DEPRECATION = re.compile(r"onyxpost: [^\n]*\bdeprecated\b[^\n]*\n")
# Deprecated commands, options and values that may cause the line above.
OLD_SPELLINGS = ("lab", "rig", "run", "seeds", "stand", "town", "--plant", "careless")

# Recorded texts and the texts that replace them today: ("recorded", "current"), applied in this order.
REWORDED: tuple[tuple[str, str], ...] = (
    (
        "name a shipped scenario or a TOML file as docs/rig.md has it",
        "name a shipped scenario or a TOML file as docs/multiprocess-simulation.md describes it",
    ),
    (
        "shipped are duties-all-killed, duties-bridge, duties-cuts, duties-stalls, edge-all-killed,"
        " edge-cuts, edge-stalls",
        "shipped are edge-all-killed, edge-cuts, edge-stalls, leadership-all-killed, leadership-bridge,"
        " leadership-cuts, leadership-stalls",
    ),
    ("no stage 'unknown'; there are edge, duties", "no environment 'unknown'; there are edge, leadership"),
    (
        "the bug 'careless' is of duties, not of stage 'edge'",
        "the mutation 'careless' is of leadership, not of the environment 'edge'",
    ),
    ("no plant 'unknown'", "no mutation 'unknown'"),
    (
        "careless, forgets, overstays, begins-anew",
        "ignore-fencing-tokens, vote-without-recovery, ignore-lease-expiry, drop-committed-record",
    ),
    ("no place '", "no target '"),
    (
        "a constant of the module and a number, as in Theta.PERIOD=250",
        "a constant of the policy and a number, as in LatencyLoadShedder.PERIOD_MS=250",
    ),
    ("end the process that holds it, or name", "stop the process that uses it, or name"),
    (
        "look at this process's limits, of descriptors (`ulimit -n`) and of memory",
        "check this process's limits of descriptors (`ulimit -n`) and of memory",
    ),
    ("onyxpost: --plant: ", "onyxpost: --mutation: "),
    ("Option '--plant' requires", "Option '--mutation' requires"),
    ("onyxpost: --mutation: no bug ", "onyxpost: --mutation: no mutation "),
    (
        "see that the path is right and readable, or name a scenario that is shipped",
        "check that the path is right and can be read, or name a shipped scenario",
    ),
    (
        "mend the key at that place; docs/lab.md has the form",
        "correct the key at that place; docs/simulation.md describes the format",
    ),
    (
        "give a file that `onyxpost lab run --out` of this build wrote whole",
        "give a complete file, written by `onyxpost simulate discrete-event --out` of this build",
    ),
    (
        "play the same scenarios for both, with `onyxpost lab run --out`",
        "run the same scenarios for both, with `onyxpost simulate discrete-event --out`",
    ),
    (
        "name a folder that is there, can be written and has room",
        "name a folder that exists, can be written and has free space",
    ),
    (
        "give it a value within what the line says; `--help` tells its form",
        "give a value within the limits of this line; `--help` shows its format",
    ),
    (
        "name an address on loopback, as 127.0.0.1:8081",
        "name an address on loopback, as in 127.0.0.1:8081",
    ),
    (
        "resends-all, deaf-to-drains, answer-lost, ceilings-off, lost-never-ran, sends-for-the-gone, "
        "deaf-watch, eager-cold",
        "retry-possibly-executed, ignore-drains, lose-answers, ignore-limits, treat-lost-as-not-sent, "
        "ignore-disconnects, never-repeat-silent-polls, skip-slow-start",
    ),
    # Descriptions of violations in result files.
    (" ms after it was told", " ms after its node was notified of the drain"),
)

USAGE_ERROR = re.compile(r"^Error: .*", re.MULTILINE | re.DOTALL)


class Result(NamedTuple):
    """Exit code, standard output and standard error of a command.

    Standard error does not include the line that announces a deprecated name.
    """

    exit_code: int
    output: str
    error: str


def current_wording(recorded: str) -> str:
    """Returns a recorded text with each text of REWORDED replaced by its current form."""
    for before, now in REWORDED:
        recorded = recorded.replace(before, now)
    return recorded


def without_deprecation(arguments: list[str], error: str) -> str:
    """Returns standard error without the first line that announces a deprecated name; others are kept."""
    if any(argument in OLD_SPELLINGS for argument in arguments) and (announced := DEPRECATION.match(error)):
        return error[announced.end() :]
    return error


def run(arguments: list[str], environment: dict[str, str] | None = None) -> Result:
    """Runs a command in this process; raises the exceptions that the command does not handle."""
    unset: dict[str, str | None] = {name: None for name in os.environ if name.startswith("EDGE_")}
    with signals_restored():
        done = CliRunner().invoke(cli.main, arguments, env=unset | (environment or {}))
    if done.exception is not None and not isinstance(done.exception, SystemExit):
        raise done.exception
    return Result(done.exit_code, done.stdout, without_deprecation(arguments, done.stderr))


def run_process(arguments: list[str], environment: dict[str, str] | None = None) -> Result:
    """Runs a command as `python -m onyxpost` in a process of its own."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    done = subprocess.run(
        [sys.executable, "-m", "onyxpost", *arguments],
        env=inherited | (environment or {}),
        capture_output=True,
        text=True,
        timeout=PROCESS_TIMEOUT_SECONDS,
        check=False,
    )
    return Result(done.returncode, done.stdout, without_deprecation(arguments, done.stderr))


def refusal(error: str) -> dict[str, str]:
    """Returns the part of standard error that is compared: a usage error's message, else the whole text."""
    if error.startswith("Usage: "):
        found = USAGE_ERROR.search(error)
        return {"usage error": "" if found is None else found.group()}
    return {"text": error}


@contextlib.contextmanager
def signals_restored() -> Iterator[None]:
    """Restores the signal handlers and the signal mask, which a command may change for its process."""
    handlers = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, blocked)
        for number, handler in handlers.items():
            signal.signal(number, handler)


@contextlib.contextmanager
def held_port() -> Iterator[str]:
    """Yields a port of 127.0.0.1 that is in use, so that no other process can bind to it."""
    with socket.create_server(("127.0.0.1", 0)) as holder:
        yield str(holder.getsockname()[1])


def run_case(case: dict[str, Any], folder: Path) -> dict[str, Any]:
    """Runs a recorded command with its files in `folder`.

    Returns the exit code and the refusal in the form of the recorded data. The refusal is None on success.
    """
    with held_port() as port:

        def filled(text: str) -> str:
            return text.replace(FOLDER, str(folder)).replace(HELD_PORT, port)

        for name, text in case["files"].items():
            (folder / name).write_text(filled(text), encoding="utf-8")
        arguments = [filled(argument) for argument in case["command"]]
        environment = {name: filled(value) for name, value in case["environment"].items()}
        result = run_process(arguments, environment) if case["own process"] else run(arguments, environment)
        error = result.error.replace(str(folder), FOLDER).replace(port, HELD_PORT)
    # A successful command is compared by its exit code only: its standard error may contain times.
    return {"exit code": int(result.exit_code), "refusal": refusal(error) if result.exit_code else None}
