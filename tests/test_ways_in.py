"""The way in that CI takes: what it says, and that it is not content with a run in which no test ran."""

import pathlib
import shutil
import subprocess
import sys

import pytest

RUN = pathlib.Path(".ci/run")


@pytest.mark.parametrize(
    ("closing", "code", "line", "verdict"),
    [
        ("187 passed, 41 subtests passed in 54.92s", 0, "187 passed, 0 failed", True),
        ("2 failed, 5 passed, 1 error in 1.02s", 1, "5 passed, 3 failed", False),
        ("no tests ran in 0.01s", 5, "0 passed, 0 failed", False),
        ("no tests ran in 0.01s", 0, "0 passed, 0 failed", False),
        ("3 skipped in 0.01s", 0, "0 passed, 0 failed", False),
        ("5 passed in 75.10s (0:01:15)", 3, "5 passed, 0 failed", False),
        ("", 0, "0 passed, 0 failed", False),
    ],
)
def test_ci_fails_where_a_test_failed_or_none_ran(
    tmp_path: pathlib.Path, closing: str, code: int, line: str, verdict: bool
) -> None:
    (tmp_path / ".ci").mkdir()
    shutil.copy(RUN, tmp_path / ".ci" / "run")
    (tmp_path / "Makefile").write_text(f"lint:\n\ntest:\n\t@echo '{closing}'\n\t@exit {code}\n")
    found = subprocess.run(["bash", ".ci/run"], cwd=tmp_path, capture_output=True, text=True)
    assert found.stdout.splitlines()[-1] == line
    assert (found.returncode == 0) is verdict


def test_stories_in_nested_folders_are_found_whatever_their_names(tmp_path: pathlib.Path) -> None:
    shutil.copy("pyproject.toml", tmp_path)
    for folder in ("tests", "tests/duties", "tests/rollout/deep"):
        (tmp_path / folder).mkdir(parents=True)
        (tmp_path / folder / "test_same.py").write_text("def test_one(): pass\n")
    found = subprocess.run(
        [sys.executable, "-m", "pytest", "-n", "0"], cwd=tmp_path, capture_output=True, text=True
    )
    assert "3 passed" in found.stdout, found.stdout
