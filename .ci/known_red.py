"""CI's verdict on a run of pytest: passed, except for the tests that KNOWN-RED.txt lists.

    python .ci/known_red.py RESULT STATUS [LIST]

RESULT is what pytest wrote with --junitxml, STATUS its exit code, LIST (KNOWN-RED.txt) may be missing. A
line of LIST is `test, cause, issue`, the test by its pytest node id; three lines at most. Exactly those
tests may fail: they count as failed and are printed. Exit 0 if nothing else is wrong, else 1 with a line for
each reason; the last line printed is always `N passed, N failed`. To be run from the root of the repository.
"""

import pathlib
import sys
import xml.etree.ElementTree as ET
from typing import NamedTuple

MAX_ENTRIES = 3
FIELD_COUNT = 3  # test, cause, issue
TESTS_FAILED = 1  # pytest's exit code: all tests were run, and some failed

PASSED = "passed"
FAILED = "failed"
SKIPPED = "skipped"


class KnownFailure(NamedTuple):
    """One line of the list; `location` is its file and line, for messages."""

    location: str
    test: str
    cause: str
    issue: str


class TestRun(NamedTuple):
    """What pytest reported.

    Attributes:
        outcomes: passed, failed or skipped for each test, by its node id.
        other_failures: names of what failed without being a test, such as a file that cannot be collected.
    """

    outcomes: dict[str, str]
    other_failures: list[str]


class KnownFailures(NamedTuple):
    """The entries of the list that can be used, and a message for each that cannot."""

    entries: list[KnownFailure]
    problems: list[str]


def node_id(case: ET.Element) -> str:
    """Returns the node id of a test; empty for an element that is no test of an existing file."""
    parts = case.get("classname", "").split(".")
    for end in range(len(parts), 0, -1):
        file = "/".join(parts[:end]) + ".py"
        if parts[0] and pathlib.Path(file).is_file():
            return "::".join([file, *parts[end:], without_group(case.get("name", ""))])
    return ""


def without_group(name: str) -> str:
    """Returns a test's name without the `@group` that pytest-xdist appends to tests of a group.

    A function's name has no `@`; what a parameter's id has of them stands before its last bracket.
    """
    function, bracket, rest = name.rpartition("]")
    if bracket:
        return function + bracket if rest.startswith("@") else name
    return name.partition("@")[0]


def outcome_of(case: ET.Element) -> str:
    """Returns whether a test case passed, failed or was skipped."""
    if case.find("failure") is not None or case.find("error") is not None:
        return FAILED
    return PASSED if case.find("skipped") is None else SKIPPED


def read_run(result: pathlib.Path) -> TestRun:
    """Reads pytest's result.

    Raises:
        OSError: the file cannot be read.
        ET.ParseError: it is not complete.
    """
    run = TestRun({}, [])
    for case in ET.parse(result).iter("testcase"):
        outcome = outcome_of(case)
        name = node_id(case)
        if not name:
            if outcome == FAILED:
                run.other_failures.append(case.get("name", ""))
        elif (
            run.outcomes.get(name) != FAILED
        ):  # a test that failed twice, in its teardown too, is there twice
            run.outcomes[name] = outcome
    return run


def read_known_failures(file: pathlib.Path, outcomes: dict[str, str]) -> KnownFailures:
    """Reads the list and compares it with what ran."""
    known = KnownFailures([], [])
    try:
        lines = file.read_text("utf-8").splitlines() if file.exists() else []
    except (OSError, UnicodeDecodeError) as error:
        return KnownFailures([], [f"{file}: can't be read ({error}): write it anew as UTF-8 text"])
    if len(lines) > MAX_ENTRIES:
        location = f"{file}:{MAX_ENTRIES + 1}"
        known.problems.append(
            f"{location}: over {MAX_ENTRIES} lines: mend a listed test and take its line out"
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
    """Splits a line; as a node id may contain commas, the test is the longest prefix that is a test's id."""
    parts = line.split(",")
    prefix_ends = [end for end in range(1, len(parts) - 1) if ",".join(parts[:end]).strip() in outcomes]
    end = max(prefix_ends, default=1)
    test = ",".join(parts[:end]).strip()
    cause = ",".join(parts[end:-1]).strip()
    return KnownFailure(location, test, cause, parts[-1].strip())


def find_problem(
    entry: KnownFailure, line: str, earlier: list[KnownFailure], outcomes: dict[str, str]
) -> str:
    """Returns what is wrong with an entry; empty if nothing is."""
    is_complete = bool(entry.test and entry.cause and entry.issue)
    if line.count(",") < FIELD_COUNT - 1 or not is_complete:
        return "not `test, cause, issue`: write all three, with commas between"
    if entry.test not in outcomes:
        return f"no test that ran is called {entry.test}: give a node id as pytest prints it"
    if entry.test in [known.test for known in earlier]:
        return f"{entry.test} is listed twice: take one line out"
    if outcomes[entry.test] != FAILED:
        return f"{entry.test} {outcomes[entry.test]}: take the line out, it has to fail"
    return ""


def main(result: str, status: str, list_file: str = "KNOWN-RED.txt") -> int:
    """Prints the verdict and returns the exit code."""
    run = TestRun({}, [])
    problems: list[str] = []
    try:
        run = read_run(pathlib.Path(result))
    except (OSError, ET.ParseError) as error:
        problems.append(f"{result}: no whole result of pytest ({error}): see what it printed")
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
        problems.append(f"pytest ended with {status}, and its result doesn't say why: see what it printed")
    for problem in problems:
        print(problem)
    print(f"{passed_count} passed, {len(failures)} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
