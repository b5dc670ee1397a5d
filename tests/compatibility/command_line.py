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
    (
        "mend the key that is named in `duties`; `check FILE` says the same",
        "correct the named key in `duties`; `onyxpost check FILE` validates the file",
    ),
    (
        "add or remove one voter a step, version one higher, once the step before is in force",
        "add or remove one voter at a time, with the next `version`, once the last change is in force",
    ),
    (
        "move the file away while most other voters run: the voter learns from them; look at the disk",
        "check the disk; if the file is damaged, move it away and restart while a majority of the other"
        " voters runs: this node recovers its state from them",
    ),
    (
        "mend the named key; `onyxpost check FILE` says the same",
        "correct the named key in `fleet`; `onyxpost check FILE` validates the file",
    ),
    # Descriptions of violations in result files.
    (" ms after it was told", " ms after its node was notified of the drain"),
    # Remedies of errors in files and of addresses.
    (
        "see that the path is right and that this user may read it",
        "check that the path is right and that this user can read the file",
    ),
    (
        "mend the file's JSON there; `python -m json.tool FILE` shows the line",
        "correct the file's JSON; `python -m json.tool FILE` shows the line of the error",
    ),
    (
        "give the key at that place a value of the type and range that it names",
        "set the named key to a value of the expected type and range",
    ),
    (
        "bring the key at that place into line with the rest of the file",
        "change the named key, or the value in the same file that conflicts with it",
    ),
    (
        "stop the process that uses it, or name another address of this machine in the file",
        "stop the process that uses the address, or set another address of this machine in the file",
    ),
    (
        "check this process's limits of descriptors (`ulimit -n`) and of memory",
        "check this process's limits on file descriptors (`ulimit -n`) and memory",
    ),
    # Errors of a planner's file and of addresses.
    ("p9 is none of the planners", "this planner's name, p9, is not among the members"),
    ("no address: 'localhost'", "expected host:port with a port below 65536, got 'localhost'"),
    ("no address: 'x'", "expected host:port with a port below 65536, got 'x'"),
    ("no address: '127.0.0.1'", "expected host:port with a port below 65536, got '127.0.0.1'"),
    ("no address: '127.0.0.1:x'", "expected host:port with a port below 65536, got '127.0.0.1:x'"),
    # Remedies of rules files.
    (
        "mend that place; `onyxpost check NODE-FILE` tries it; docs/rollouts-rules.md has their form",
        "correct the file, then run `onyxpost check NODE-FILE`; see docs/rollouts-routing-rules.md",
    ),
    (
        "mend the name; a new zone goes into the rules' `zones`, the node's own into `zone` of its file",
        "correct the name, add a new zone to the rules file's `zones`, or set `zone` in the node's file",
    ),
    (
        'end the rule\'s `servers.fallbacks` with "any"',
        'add "any" as the last entry of the rule\'s `servers.fallbacks`',
    ),
    (
        "put it before those that the line names, make it match what they leave, or take it out",
        "move the rule or fallback before those that this line names, extend its match, or delete it",
    ),
    # `simulate processes`.
    ("onyxpost: no scenario; shipped are ", "onyxpost: no scenario given; shipped are "),
    (
        "onyxpost: unknown: no scenario; shipped are ",
        "onyxpost: unknown: no scenario of this name; shipped are ",
    ),
    ("onyxpost: no mutation 'unknown'; there are ", "onyxpost: unknown mutation 'unknown'; known are "),
    (
        "the mutation 'careless' is of leadership, not of the environment 'edge'",
        "the mutation 'careless' needs the environment 'leadership', not 'edge'",
    ),
    (
        "no environment 'unknown'; there are edge, leadership",
        "unknown environment 'unknown'; known are edge, leadership",
    ),
    ("no fault 'unknown'; there are ", "unknown fault 'unknown'; known are "),
    ("no target '", "unknown target '"),
    ("a script of version 2, not 1", "the script has version 2, expected 1"),
    (" nodes: 1 to 64", " nodes given, expected 1 to 64"),
    (" s: above 0, up to 600", " s given, expected above 0, up to 600"),
    # Refusals of the discrete-event simulation.
    ("; shipped are: calm, ", "; shipped scenarios: calm, "),
    ("': a constant of the policy and a number, ", "': expected a constant of the policy and a number, "),
    (
        "9.0 to 1.0 is no range - at `$.links.peer_ms`",
        "minimum 9.0 is greater than maximum 1.0 - at `$.links.peer_ms`",
    ),
    ("no range - at `$.work[0].work_ms`", "the minimum is greater than the maximum - at `$.work[0].work_ms`"),
    (
        "longer than the client timeout - at `$.work[0].response_target_ms`",
        "must not be longer than `client_timeout_ms` - at `$.work[0].response_target_ms`",
    ),
    (
        "a range that is none - at `$.plans[0]`",
        "the minimum of `spread` or `burst_s` is greater than its maximum - at `$.plans[0]`",
    ),
    (
        "5 of 4 nodes - at `$.plans[0].spread`",
        "up to 5 nodes per customer, but only 4 nodes - at `$.plans[0].spread`",
    ),
    ("a name twice - at `$.plans`", "names must be unique - at `$.plans`"),
    (
        "more zones than servers - at `$.fleet.zones`",
        "more zones than servers; each zone must have a server - at `$.fleet.zones`",
    ),
    (
        "after the end - at `$.events[0].at_s`",
        "must be less than `seconds`, the duration of the run - at `$.events[0].at_s`",
    ),
    ("no plan x - at `$.events[0].plan`", "no plan has the name x - at `$.events[0].plan`"),
    # Refusals of the planner cluster.
    ("onyxpost: 0 s: up to 600 (", "onyxpost: 0 s, expected more than 0 and up to 600 ("),
    ("onyxpost: 600.5 s: up to 600 (", "onyxpost: 600.5 s, expected more than 0 and up to 600 ("),
    (
        "0 forwarders, 3 planners: 1 to 64, 1 to 9 (",
        "0 forwarders and 3 planners, expected 1 to 64 and 1 to 9 (",
    ),
    (
        "65 forwarders, 3 planners: 1 to 64, 1 to 9 (",
        "65 forwarders and 3 planners, expected 1 to 64 and 1 to 9 (",
    ),
    (
        "20 forwarders, 0 planners: 1 to 64, 1 to 9 (",
        "20 forwarders and 0 planners, expected 1 to 64 and 1 to 9 (",
    ),
    (
        "20 forwarders, 10 planners: 1 to 64, 1 to 9 (",
        "20 forwarders and 10 planners, expected 1 to 64 and 1 to 9 (",
    ),
    (
        "onyxpost: 0 requests a second: up to 2000, of at least one customer (",
        "onyxpost: 0 requests per second, expected more than 0 and up to 2000, from at least one customer (",
    ),
    (
        "onyxpost: 2000.5 requests a second: up to 2000, of at least one customer (",
        "onyxpost: 2000.5 requests per second,"
        " expected more than 0 and up to 2000, from at least one customer (",
    ),
    (
        ": numbers from 0 to 4294967295, as in 1-20 or 1,4,9-12 (",
        ": expected numbers from 0 to 4294967295, as in 1-20 or 1,4,9-12 (",
    ),
    (
        " reqs a second for 10 s: at most 1000000 reqs (",
        " requests/s for 10 s: expected more than 0 and at most 1000000 requests (",
    ),
    (" s: from above 0 to 3600 (", " s: expected more than 0 s and at most 3600 s ("),
    (" connections: from 1 to 20000 (", " connections: expected from 1 to 20000 ("),
    (": only addresses on loopback are sent load (", ": not an IP address on loopback ("),
    ("no run's totals in it", "no line with the totals of a run"),
    ("results of version None, not 1 (", "results of version None; expected version 1 ("),
    (
        "no scenario is in both: short, 4 nodes, 4 servers / other, 4 nodes, 4 servers (",
        "no scenario in common: short, 4 nodes, 4 servers in the first,"
        " other, 4 nodes, 4 servers in the second (",
    ),
    (
        "no scenario is in both: short, 4 nodes, 4 servers / short, 5 nodes, 4 servers (",
        "no scenario in common: short, 4 nodes, 4 servers in the first,"
        " short, 5 nodes, 4 servers in the second (",
    ),
    (
        ": there are 3 servers, numbered from 0 - at `$.faults[0].server` (",
        ": no such server; there are 3 servers, numbered from 0 - at `$.faults[0].server` (",
    ),
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
