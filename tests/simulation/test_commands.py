"""Simulation commands work by their current names, and by deprecated spellings with a warning."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import click
import pytest
from click.testing import CliRunner, Result

from onyxpost.cli import main
from onyxpost.simulation.cli import simulate
from onyxpost.simulation.cli_output import InterruptCatcher, ViolationLine, echo_violations, exit_code
from onyxpost.simulation.deprecation import (
    COMMANDS,
    CURRENT_COMMANDS,
    CURRENT_OPTIONS,
    Spelling,
    parse_simulation_command,
    warn_deprecated,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

DEPRECATED = "is deprecated, use"


def invoke(command: str) -> Result:
    return CliRunner().invoke(main, command.split())


def help_names(output: str) -> set[str]:
    """Returns the commands and options that a help text lists: the first two words of its indented rows."""
    rows = [line.strip() for line in output.splitlines() if line.startswith("  ")]
    return {name.strip(",") for row in rows for name in row.split()[:2]}


def test_the_group_has_exactly_the_current_commands() -> None:
    assert sorted(simulate.commands) == sorted(COMMANDS)


@pytest.mark.parametrize("command", sorted(COMMANDS))
def test_a_command_works_by_its_current_name_without_a_warning(command: str) -> None:
    result = invoke(f"simulate {command} --help")
    assert result.exit_code == 0
    assert result.stdout.startswith(f"Usage: main simulate {command} ")
    assert result.stderr == ""


@pytest.mark.parametrize(
    ("arguments", "old", "current"),
    [
        ("lab --help", "lab", "simulate"),
        *(
            (f"lab {old} --help", f"lab {old}", f"simulate {current}")
            for old, current in CURRENT_COMMANDS.items()
        ),
        *(
            (f"simulate {old} --help", f"simulate {old}", f"simulate {current}")
            for old, current in CURRENT_COMMANDS.items()
        ),
        ("lab scenarios", "lab scenarios", "simulate scenarios"),
        ("lab compare --help", "lab compare", "simulate compare"),
        ("lab load --help", "lab load", "simulate load"),
        ("lab deterministic --help", "lab deterministic", "simulate deterministic"),
        ("lab seeds --plant x --help", "lab seeds --plant", "simulate deterministic --mutation"),
        ("lab rig --plant=x --plant=y --help", "lab rig --plant", "simulate processes --mutation"),
        (
            "simulate deterministic --plant x --help",
            "simulate deterministic --plant",
            "simulate deterministic --mutation",
        ),
    ],
)
def test_a_deprecated_spelling_works_with_one_warning_on_standard_error(
    arguments: str, old: str, current: str
) -> None:
    result = invoke(arguments)
    assert result.exit_code == 0
    assert result.stderr == f"onyxpost: '{old}' {DEPRECATED} '{current}'\n"
    assert DEPRECATED not in result.stdout
    current_result = invoke(" ".join(parse_simulation_command(arguments.split()).argv))
    assert (current_result.stdout, current_result.stderr) == (result.stdout, "")


@pytest.mark.parametrize(
    ("arguments", "error"),
    [
        ("lab unknown", "Error: No such command 'unknown'."),
        ("lab seeds --unknown", "Error: No such option '--unknown'."),
        ("lab run no-such-scenario", "onyxpost: no-such-scenario: No such file or directory"),
        ("lab rig edge-cuts --plant no-such", "'no-such'"),
    ],
)
def test_the_deprecation_warning_is_the_first_line_of_a_rejected_command(arguments: str, error: str) -> None:
    result = invoke(arguments)
    assert result.exit_code == 2
    warning, *refusal = result.stderr.splitlines()
    assert DEPRECATED in warning
    assert error in "\n".join(refusal)
    assert DEPRECATED not in "\n".join(refusal)
    assert result.stdout == ""


def test_the_deprecated_option_injects_the_mutation_with_the_same_results_as_the_current_one(
    tmp_path: Path,
) -> None:
    written = []
    for command in ("lab seeds --plant", "simulate deterministic --mutation"):
        out = tmp_path / "out.jsonl"
        result = invoke(f"{command} deaf-to-drains --seeds 5 --jobs 1 --out {out}")
        assert result.exit_code == 1, result.output
        written.append(out.read_bytes())
    assert written[0] == written[1]


def test_a_command_with_several_processes_warns_of_a_deprecated_spelling_once(tmp_path: Path) -> None:
    arguments = ["lab", "seeds", "--seeds", "1-2", "--jobs", "2", "--out", str(tmp_path / "out.jsonl")]
    result = subprocess.run(
        [sys.executable, "-m", "onyxpost", *arguments],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=True,
    )
    assert result.stderr == "onyxpost: 'lab seeds' is deprecated, use 'simulate deterministic'\n"
    assert DEPRECATED not in result.stdout


@pytest.mark.parametrize("arguments", ["--help", "simulate --help", "lab --help"])
def test_help_lists_current_names_only(arguments: str) -> None:
    names = help_names(invoke(arguments).stdout)
    assert names.isdisjoint({"lab", *CURRENT_COMMANDS})
    expected = {"simulate"} if arguments == "--help" else set(COMMANDS)
    assert expected <= names


@pytest.mark.parametrize("command", ["deterministic", "processes"])
def test_help_of_a_command_lists_the_current_option_only(command: str) -> None:
    names = help_names(invoke(f"simulate {command} --help").stdout)
    assert "--mutation" in names
    assert names.isdisjoint(CURRENT_OPTIONS)


def test_arguments_that_are_not_command_or_option_names_are_unchanged() -> None:
    command = parse_simulation_command(["simulate", "stubs", "rig", "--plant", "lab"])
    assert command.argv == ["simulate", "stubs", "rig", "--plant", "lab"]
    assert command.names == [Spelling("simulate", "simulate"), Spelling("stubs", "stubs")]


def test_arguments_after_the_end_of_options_are_unchanged() -> None:
    command = parse_simulation_command(["lab", "rig", "--plant", "x", "--", "--plant"])
    assert command.argv == ["simulate", "processes", "--mutation", "x", "--", "--plant"]


def warning_callback(spellings: list[tuple[str, str]]) -> Callable[[], None]:
    def warn() -> None:
        for old, new in spellings:
            warn_deprecated(old, new)

    return warn


def test_a_command_warns_only_of_the_first_of_several_deprecated_spellings() -> None:
    command = click.Command("any", callback=warning_callback([("a", "b"), ("a", "b"), ("c", "d")]))
    for _ in range(2):  # each run of a command warns again
        assert CliRunner().invoke(command).stderr == "onyxpost: 'a' is deprecated, use 'b'\n"


@pytest.mark.parametrize(
    ("violated", "was_interrupted", "code"),
    [(False, False, 0), (True, False, 1), (False, True, 130), (True, True, 130)],
)
def test_an_interrupt_takes_precedence_over_violations_in_the_exit_code(
    violated: bool, was_interrupted: bool, code: int
) -> None:
    assert exit_code(violated=violated, was_interrupted=was_interrupted) == code


def test_an_interrupt_is_suppressed_and_remembered() -> None:
    with InterruptCatcher() as interrupt:
        raise KeyboardInterrupt
    assert interrupt.was_interrupted


def test_another_exception_is_not_suppressed() -> None:
    interrupt = InterruptCatcher()
    with pytest.raises(ValueError, match="bug"), interrupt:
        raise ValueError("bug")
    assert not interrupt.was_interrupted


def test_violations_are_printed_in_lines_up_to_the_limit(capsys: pytest.CaptureFixture[str]) -> None:
    violation = ViolationLine("drains", 826.0801, "n1", "t16", "s1-0", "sent 176 ms after the drain")
    echo_violations([violation] * 3, 2)
    line = "  drains violated at 826.080 ms: node n1, request t16, server s1-0: sent 176 ms after the drain\n"
    assert capsys.readouterr().out == line * 2


def test_an_interrupt_that_a_lock_replaces_by_another_error_is_recognized() -> None:
    with InterruptCatcher() as interrupt:
        try:
            raise KeyboardInterrupt
        finally:
            raise RuntimeError("cannot release un-acquired lock")
    assert interrupt.was_interrupted


def test_an_error_without_an_interrupt_is_not_suppressed() -> None:
    with pytest.raises(RuntimeError), InterruptCatcher():
        raise RuntimeError("any other")
