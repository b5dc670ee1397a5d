"""`.ci/known_red.py`: a pytest run passes only if exactly the tests listed in KNOWN-RED.txt fail."""

import os
import pathlib
import subprocess
import sys

import pytest

# One worker runs all tests of this file, so that the module's fixture runs the sample tests only once.
pytestmark = pytest.mark.xdist_group("known red")

SCRIPT = pathlib.Path(".ci/known_red.py").absolute()
SAMPLE_TESTS = """
import unittest
import pytest

def test_passes():
    pass

@pytest.mark.parametrize("word", ["one", "a, b - c::d[e]@f"])
def test_word(word):
    assert word == "one"

class Sums(unittest.TestCase):
    def test_each(self):
        for n in (1, 2):
            with self.subTest(n=n):
                self.assertEqual(n, 1)

@pytest.fixture
def failing_teardown():
    yield
    raise ValueError

@pytest.mark.xdist_group("quiet")
@pytest.mark.parametrize("word", ["a@b"])
def test_of_a_group_with_parameters(word):
    pass

@pytest.mark.xdist_group("quiet")
def test_end(failing_teardown):
    assert False

def test_left_out():
    pytest.skip("not here")
"""
SAMPLE = "tests/deep/test_sample.py::test_word[a, b - c::d[e]@f]"
EACH = "tests/deep/test_sample.py::Sums::test_each"
END = "tests/deep/test_sample.py::test_end"
PASSES = "tests/deep/test_sample.py::test_passes"
LEFT_OUT = "tests/deep/test_sample.py::test_left_out"
OF_A_GROUP = "tests/deep/test_sample.py::test_of_a_group_with_parameters[a@b]"
ALL = f"{SAMPLE}, the word, all but one, #4\n{EACH}, sums are off, #5\n{END}, fails in teardown, #6\n"


class Run:
    """Runs pytest on one file of tests in a folder of its own; `verdict` then judges the result.

    `processes` is the number of pytest-xdist workers; 0 runs pytest without pytest-xdist.
    """

    def __init__(self, root: pathlib.Path, text: str, processes: int = 2) -> None:
        self.root = root
        (root / "tests/deep").mkdir(parents=True)
        (root / "tests/deep/test_sample.py").write_text(text)
        (root / "pytest.ini").write_text("[pytest]\naddopts = --import-mode=importlib\n")
        parallel = ["-p", "xdist.plugin", f"-n{processes}", "--dist=loadgroup"] if processes else []
        command = [sys.executable, "-m", "pytest", "-q", *parallel, "--junitxml=r.xml"]
        environment = os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1", "PYTEST_ADDOPTS": ""}
        self.status = subprocess.run(command, cwd=root, env=environment, capture_output=True).returncode

    def verdict(self, listing: str | None, status: int | None = None) -> tuple[int, list[str]]:
        """Returns the exit code and the printed lines of known_red.py.

        `listing` is the content of KNOWN-RED.txt; None stands for no file. `status` replaces pytest's exit
        code.
        """
        file = self.root / "KNOWN-RED.txt"
        file.unlink(missing_ok=True)
        if listing is not None:
            file.write_text(listing)
        command = [sys.executable, str(SCRIPT), "r.xml", str(self.status if status is None else status)]
        completed = subprocess.run(command, cwd=self.root, capture_output=True, text=True)
        assert not completed.stderr
        return completed.returncode, completed.stdout.splitlines()


@pytest.fixture(scope="module")
def failing(tmp_path_factory: pytest.TempPathFactory) -> Run:
    return Run(tmp_path_factory.mktemp("failing"), SAMPLE_TESTS)


def test_just_the_listed_tests_fail_and_are_printed(failing: Run) -> None:
    assert failing.verdict(ALL) == (
        0,
        [
            f"known red: {SAMPLE} (cause: the word, all but one; issue: #4)",
            f"known red: {EACH} (cause: sums are off; issue: #5)",
            f"known red: {END} (cause: fails in teardown; issue: #6)",
            "3 passed, 3 failed",
        ],
    )


def test_a_failure_that_is_not_listed_fails(failing: Run) -> None:
    code, lines = failing.verdict(f"{SAMPLE}, the word, #4\n{END}, fails in teardown, #6\n")
    assert (code, lines[-2:]) == (1, [f"failed: {EACH}", "3 passed, 3 failed"])
    code, lines = failing.verdict(None)
    assert (code, lines[-1]) == (1, "3 passed, 3 failed")
    assert sorted(lines[:-1]) == sorted(f"failed: {name}" for name in (SAMPLE, EACH, END))


@pytest.mark.parametrize(
    ("listing", "problem"),
    [
        (f"{ALL}{SAMPLE}, again, #7\n", "KNOWN-RED.txt:4: over 3 lines"),
        (f"{ALL}\n", "KNOWN-RED.txt:4: over 3 lines"),
        (ALL.replace(", fails in teardown", ""), "KNOWN-RED.txt:3: not `test, cause, issue`"),
        (ALL.replace("#6", " "), "KNOWN-RED.txt:3: not `test, cause, issue`"),
        (ALL.replace("sums are off", ""), "KNOWN-RED.txt:2: not `test, cause, issue`"),
        (ALL.replace(END, ""), "KNOWN-RED.txt:3: not `test, cause, issue`"),
        (ALL.replace("#6", "#6\n\n"), "KNOWN-RED.txt:4: not `test, cause, issue`"),
        (ALL.replace("test_end", "test_ended"), f"KNOWN-RED.txt:3: no test that ran is called {END}ed"),
        (ALL.replace("Sums::", ""), "KNOWN-RED.txt:2: no test that ran is called"),
        (ALL.replace("[a, b - c::d[e]@f]", ""), "KNOWN-RED.txt:1: no test that ran is called"),
        (ALL.replace(END, EACH), f"KNOWN-RED.txt:3: {EACH} is listed twice"),
        (ALL.replace(END, PASSES), f"KNOWN-RED.txt:3: {PASSES} passed"),
        (ALL.replace(END, OF_A_GROUP), f"KNOWN-RED.txt:3: {OF_A_GROUP} passed"),
        (ALL.replace(END, LEFT_OUT), f"KNOWN-RED.txt:3: {LEFT_OUT} skipped"),
    ],
)
def test_an_invalid_list_fails_with_the_line_of_the_error(failing: Run, listing: str, problem: str) -> None:
    code, lines = failing.verdict(listing)
    assert code == 1
    assert [line for line in lines if line.startswith(problem)], lines
    assert lines[-1] == "3 passed, 3 failed"


def test_a_list_that_cannot_be_read_fails(failing: Run) -> None:
    (failing.root / "not_utf8.txt").write_bytes(b"\xff, cause, #1\n")
    command = [sys.executable, str(SCRIPT), "r.xml", "1", "not_utf8.txt"]
    completed = subprocess.run(command, cwd=failing.root, capture_output=True, text=True)
    assert completed.returncode == 1
    assert completed.stdout.startswith("not_utf8.txt: cannot be read")


def test_a_run_that_ended_early_fails_although_all_failures_are_listed(failing: Run) -> None:
    code, lines = failing.verdict(ALL, status=2)
    assert (code, lines[-2][:19]) == (1, "pytest ended with 2")
    assert failing.verdict(ALL, status=0)[0] == 1


@pytest.mark.parametrize("processes", [0, 2])
def test_a_file_that_cannot_be_collected_fails_and_cannot_be_listed(
    tmp_path: pathlib.Path, processes: int
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_not_importable.py").write_text("import nowhere_at_all\n")
    run = Run(tmp_path, "def test_passes(): pass\n", processes)
    for name in ("tests/test_not_importable.py", "tests.test_not_importable"):
        code, lines = run.verdict(f"{name}, an import, #1\n")
        assert code == 1
        assert f"KNOWN-RED.txt:1: no test that ran is called {name}" in "\n".join(lines)
        assert "failed: tests.test_not_importable" in lines
    assert run.verdict(None)[0] == 1


def test_a_run_without_failures_passes_without_a_list_and_with_an_empty_one(tmp_path: pathlib.Path) -> None:
    run = Run(tmp_path, "def test_one(): pass\ndef test_two(): pass\n", 0)
    assert run.verdict(None) == run.verdict("") == (0, ["2 passed, 0 failed"])
    assert run.verdict(None, status=3)[0] == 1


@pytest.mark.parametrize("text", ["", "import pytest\ndef test_one(): pytest.skip('not here')\n"])
def test_a_run_in_which_no_test_ran_fails(tmp_path: pathlib.Path, text: str) -> None:
    run = Run(tmp_path, text, 0)
    code, lines = run.verdict(None, status=0)
    assert (code, lines) == (1, ["no test ran, or none passed", "0 passed, 0 failed"])
    assert run.verdict(None)[0] == 1


def test_a_missing_or_truncated_result_fails(tmp_path: pathlib.Path) -> None:
    run = Run(tmp_path, "def test_one(): pass\n", 0)
    complete = (tmp_path / "r.xml").read_bytes()
    (tmp_path / "r.xml").write_bytes(complete[:-20])
    assert run.verdict(None)[0] == 1
    (tmp_path / "r.xml").unlink()
    code, lines = run.verdict(None)
    assert (code, lines[0][:24], lines[-1]) == (1, "r.xml: incomplete result", "0 passed, 0 failed")


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_a_test_that_ran_twice_and_failed_once_has_failed(
    tmp_path: pathlib.Path, order: tuple[int, int]
) -> None:
    run = Run(tmp_path, "def test_passes(): pass\n", 0)
    case = '<testcase classname="tests.deep.test_sample" name="test_passes">{}</testcase>'
    cases = [case.format(""), case.format("<failure/>")]
    (tmp_path / "r.xml").write_text(f"<testsuite>{cases[order[0]]}{cases[order[1]]}{cases[0]}</testsuite>")
    assert run.verdict(None, status=1)[1][0] == f"failed: {PASSES}"
