"""Last line and exit code of `.ci/run`, including runs in which no test ran."""

import pathlib
import shutil
import subprocess
import sys

import pytest

RUN = pathlib.Path(".ci/run")
# Replaces the interpreter of the virtual environment. `-m pytest` copies a prepared result file and exits
# with a given code; every other command is passed to the real interpreter.
FAKE_PYTHON = """#!/bin/sh
test "$1 $2" = "-m pytest" || exec {python} "$@"
cp prepared.xml "${{3#--junitxml=}}" 2>/dev/null
exit {code}
"""
CASES = {
    "passed": '<testcase classname="test_x" name="p{n}"/>',
    "failed": '<testcase classname="test_x" name="f{n}"><failure/></testcase>',
    "error": '<testcase classname="" name="e{n}"><error/></testcase>',
    "skipped": '<testcase classname="test_x" name="s{n}"><skipped/></testcase>',
}


@pytest.mark.parametrize(
    ("counts", "code", "line", "is_success"),
    [
        ({"passed": 187}, 0, "187 passed, 0 failed", True),
        ({"failed": 2, "passed": 5, "error": 1}, 1, "5 passed, 3 failed", False),
        ({"passed": 5, "failed": 1}, 0, "5 passed, 1 failed", False),
        ({}, 5, "0 passed, 0 failed", False),
        ({}, 0, "0 passed, 0 failed", False),
        ({"skipped": 3}, 0, "0 passed, 0 failed", False),
        ({"passed": 5}, 3, "5 passed, 0 failed", False),
        ({"passed": 5}, 1, "5 passed, 0 failed", False),
        (None, 0, "0 passed, 0 failed", False),
        (None, 1, "0 passed, 0 failed", False),
    ],
)
def test_ci_fails_where_a_test_failed_or_none_ran(
    tmp_path: pathlib.Path, counts: dict[str, int] | None, code: int, line: str, is_success: bool
) -> None:
    shutil.copytree(RUN.parent, tmp_path / ".ci")
    (tmp_path / "Makefile").write_text("lint:\n\n.ci-venv:\n")
    (tmp_path / "test_x.py").touch()
    python = tmp_path / ".ci-venv/bin/python"
    python.parent.mkdir(parents=True)
    python.write_text(FAKE_PYTHON.format(python=sys.executable, code=code))
    python.chmod(0o755)
    # The result of an earlier run, which must not be used.
    (tmp_path / ".ci-venv/tests.xml").write_text(CASES["passed"])
    if counts is not None:
        cases = [CASES[kind].format(n=n) for kind, count in counts.items() for n in range(count)]
        (tmp_path / "prepared.xml").write_text(f"<testsuite>{''.join(cases)}</testsuite>")
    completed = subprocess.run(["bash", ".ci/run"], cwd=tmp_path, capture_output=True, text=True)
    assert completed.stdout.splitlines()[-1] == line
    assert (completed.returncode == 0) is is_success


def test_tests_of_the_same_name_in_nested_folders_are_all_collected(tmp_path: pathlib.Path) -> None:
    shutil.copy("pyproject.toml", tmp_path)
    for folder in ("tests", "tests/leadership", "tests/rollout/deep"):
        (tmp_path / folder).mkdir(parents=True)
        (tmp_path / folder / "test_same.py").write_text("def test_one(): pass\n")
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-n", "0"], cwd=tmp_path, capture_output=True, text=True
    )
    assert "3 passed" in completed.stdout, completed.stdout
