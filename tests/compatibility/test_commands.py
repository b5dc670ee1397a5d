"""Each command ends with the recorded exit code, and prints the recorded text for a refusal.

`command_line.REWORDED` lists the texts that were reworded on purpose; any other difference is an unintended
change of the command line.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from tests.compatibility import command_cases, command_line, recorded

if TYPE_CHECKING:
    from pathlib import Path

COMMANDS: dict[str, Any] = recorded.load("commands.json")


@pytest.mark.parametrize("case", COMMANDS)
def test_command_ends_with_the_recorded_exit_code_and_refusal(case: str, tmp_path: Path) -> None:
    record = COMMANDS[case]
    expected = record["refusal"]
    if expected is not None:
        expected = {kind: command_line.current_wording(text) for kind, text in expected.items()}
    assert command_line.run_case(record, tmp_path) == {"exit code": record["exit code"], "refusal": expected}


def test_every_command_case_is_recorded() -> None:
    recorded_commands = {name: record["command"] for name, record in COMMANDS.items()}
    assert recorded_commands == {
        name: command.case()["command"] for name, command in command_cases.commands().items()
    }


@pytest.mark.parametrize(
    ("arguments", "error", "remaining"),
    [
        (["lab", "run"], "onyxpost: `lab` is deprecated\nrefused\n", "refused\n"),
        (["lab", "run"], "refused\n", "refused\n"),
        (
            ["lab"],
            "onyxpost: a is deprecated\nonyxpost: b is deprecated\nx\n",
            "onyxpost: b is deprecated\nx\n",
        ),
        (["lab", "run"], "refused\nonyxpost: a is deprecated\n", "refused\nonyxpost: a is deprecated\n"),
        (["serve"], "onyxpost: a is deprecated\nrefused\n", "onyxpost: a is deprecated\nrefused\n"),
    ],
    ids=["announced", "not announced", "announced twice", "announced too late", "no old spelling"],
)
def test_one_line_alone_may_announce_an_old_spelling(
    arguments: list[str], error: str, remaining: str
) -> None:
    assert command_line.without_deprecation(arguments, error) == remaining
