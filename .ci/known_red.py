"""Decides whether a pytest run passes CI, in which only the tests listed in KNOWN-RED.txt may fail.

    python .ci/known_red.py RESULT STATUS [LIST]

RESULT is the file that pytest wrote with --junitxml, STATUS is pytest's exit code, and LIST is the list of
known failures (default: KNOWN-RED.txt; the file need not exist). Each of its lines has the form
`test, cause, issue`, where `test` is a pytest node id; at most three lines are allowed. Each listed test has
to fail; it is printed and counted as failed. The exit code is 0 if nothing else is wrong. Otherwise it is 1,
and each reason is printed on a line. The last line is always `N passed, N failed`. Run the script from the
root of the repository.
"""

import pathlib
import sys
import xml.etree.ElementTree as ET
from typing import NamedTuple

MAX_ENTRIES = 3
FIELD_COUNT = 3  # test, cause, issue
TESTS_FAILED = 1  # pytest's exit code when all tests were run and some failed

PASSED = "passed"
FAILED = "failed"
SKIPPED = "skipped"


class KnownFailure(NamedTuple):
    """One line of the list of known failures.

    Attributes:
        location: file and line number, for messages.
        test: pytest node id.
        cause: why the test fails.
        issue: the issue that tracks the failure.
    """

    location: str
    test: str
    cause: str
    issue: str


class TestRun(NamedTuple):
    """The results that pytest reported.

    Attributes:
        outcomes: PASSED, FAILED or SKIPPED for each test, by node id.
        other_failures: names of failures that belong to no test, such as a file that cannot be collected.
    """

    outcomes: dict[str, str]
    other_failures: list[str]


class KnownFailures(NamedTuple):
    """The valid entries of the list, and an error message for each invalid one."""

    entries: list[KnownFailure]
    problems: list[str]


def node_id(case: ET.Element) -> str:
    """Returns the node id of a test, or "" for an element that belongs to no existing test file."""
    parts = case.get("classname", "").split(".")
    for end in range(len(parts), 0, -1):
        file = "/".join(parts[:end]) + ".py"
        if parts[0] and pathlib.Path(file).is_file():
            return "::".join([file, *parts[end:], without_group(case.get("name", ""))])
    return ""


def without_group(name: str) -> str:
    """Returns a test's name without the `@group` that pytest-xdist appends to tests of a group.

    A function name contains no `@`. A parameter id may contain `@`, but only before the closing bracket.
    """
    function, bracket, rest = name.rpartition("]")
    if bracket:
        return function + bracket if rest.startswith("@") else name
    return name.partition("@")[0]


def outcome_of(case: ET.Element) -> str:
    """Returns PASSED, FAILED or SKIPPED for a test case."""
    if case.find("failure") is not None or case.find("error") is not None:
        return FAILED
    return PASSED if case.find("skipped") is None else SKIPPED


def read_run(result: pathlib.Path) -> TestRun:
    """Reads pytest's result file.

    Raises:
        OSError: the file cannot be read.
        ET.ParseError: the file is not complete XML.
    """
    run = TestRun({}, [])
    for case in ET.parse(result).iter("testcase"):
        outcome = outcome_of(case)
        name = node_id(case)
        if not name:
            if outcome == FAILED:
                run.other_failures.append(case.get("name", ""))
        # A test that also failed in its teardown is reported twice. A failure is never overwritten.
        elif run.outcomes.get(name) != FAILED:
            run.outcomes[name] = outcome
    return run


def read_known_failures(file: pathlib.Path, outcomes: dict[str, str]) -> KnownFailures:
    """Reads the list of known failures and checks each line against the outcomes of the run."""
    known = KnownFailures([], [])
    try:
        lines = file.read_text("utf-8").splitlines() if file.exists() else []
    except (OSError, UnicodeDecodeError) as error:
        return KnownFailures([], [f"{file}: cannot be read as UTF-8 text ({error})"])
    if len(lines) > MAX_ENTRIES:
        location = f"{file}:{MAX_ENTRIES + 1}"
        known.problems.append(
            f"{location}: over {MAX_ENTRIES} lines: repair a listed test and remove its line"
        )
    for line_number, line in enumerate(lines, 1):
        entry = parse_entry(f"{file}:{line_number}", line, outcomes)
        problem = find_problem(entry, line, known.entries, outcomes)
        if problem:
            known.problems.append(f"{entry.location}: {problem}")
        else:
            known.entries.append(entry)
    return known


def parse_entry(location: str, line: str, outcomes: dict[str, str]) -> KnownFailure:
    """Splits a line into its fields.

    A node id may contain commas, so the test is the longest prefix of the line that is the node id of a test.
    """
    parts = line.split(",")
    prefix_ends = [end for end in range(1, len(parts) - 1) if ",".join(parts[:end]).strip() in outcomes]
    end = max(prefix_ends, default=1)
    test = ",".join(parts[:end]).strip()
    cause = ",".join(parts[end:-1]).strip()
    return KnownFailure(location, test, cause, parts[-1].strip())


def find_problem(
    entry: KnownFailure, line: str, earlier: list[KnownFailure], outcomes: dict[str, str]
) -> str:
    """Returns an error message for an invalid entry, or "" for a valid one."""
    is_complete = bool(entry.test and entry.cause and entry.issue)
    if line.count(",") < FIELD_COUNT - 1 or not is_complete:
        return "not `test, cause, issue`: give all three fields, separated by commas"
    if entry.test not in outcomes:
        return f"no test that ran is called {entry.test}: give the node id that pytest prints"
    if entry.test in [known.test for known in earlier]:
        return f"{entry.test} is listed twice: remove one of the lines"
    if outcomes[entry.test] != FAILED:
        return f"{entry.test} {outcomes[entry.test]}: remove the line, as a listed test has to fail"
    return ""


def main(result: str, status: str, list_file: str = "KNOWN-RED.txt") -> int:
    """Prints the verdict and returns the exit code."""
    run = TestRun({}, [])
    problems: list[str] = []
    try:
        run = read_run(pathlib.Path(result))
    except (OSError, ET.ParseError) as error:
        problems.append(f"{result}: incomplete result of pytest ({error}): see pytest's output")
    known = read_known_failures(pathlib.Path(list_file), run.outcomes)
    problems += known.problems
    for entry in known.entries:
        print(f"known red: {entry.test} (cause: {entry.cause}; issue: {entry.issue})")
    may_fail = {entry.test for entry in known.entries}
    failures = [name for name, outcome in run.outcomes.items() if outcome == FAILED] + run.other_failures
    problems += [f"failed: {name}" for name in failures if name not in may_fail]
    passed_count = list(run.outcomes.values()).count(PASSED)
    if not passed_count:
        problems.append("no test ran, or none passed")
    if int(status) != (TESTS_FAILED if failures else 0):
        problems.append(f"pytest ended with {status}, which its result does not explain: see pytest's output")
    for problem in problems:
        print(problem)
    print(f"{passed_count} passed, {len(failures)} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
