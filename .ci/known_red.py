"""CI's verdict on a run of pytest: passed, but for the tests that KNOWN-RED.txt lists.

    python .ci/known_red.py RESULT STATUS [LIST]

RESULT is what pytest wrote with --junitxml, STATUS its exit code, LIST (KNOWN-RED.txt) may be missing. A
line of LIST is `test, cause, issue`, the test by its pytest node id; three lines at most. Exactly those
tests may fail: they count as failed and are printed. Exit 0 where all is well, else 1 with a line for each
reason; the last line printed is always `N passed, N failed`. To be run from the root of the repository.
"""

import pathlib
import sys
import xml.etree.ElementTree as ET
from typing import NamedTuple

MOST = 3
TESTS_FAILED = 1  # pytest's exit code: all was run, and some of it failed


class Red(NamedTuple):
    """One line of the list; `place` says where it stands, for messages."""

    place: str
    test: str
    cause: str
    issue: str


def node_id(case: ET.Element) -> str:
    """The node id of a test that ran; empty for what is none, such as a file that can't be collected."""
    parts = case.get("classname", "").split(".")
    for end in range(len(parts), 0, -1):
        file = "/".join(parts[:end]) + ".py"
        if parts[0] and pathlib.Path(file).is_file():
            return "::".join([file, *parts[end:], case.get("name", "")])
    return ""


def outcomes(result: pathlib.Path) -> tuple[dict[str, str], list[str]]:
    """passed, failed or skipped for each node id; and what failed without being a test.

    Raises OSError and ET.ParseError where pytest wrote no whole result."""
    tests: dict[str, str] = {}
    others: list[str] = []
    for case in ET.parse(result).iter("testcase"):
        failed = case.find("failure") is not None or case.find("error") is not None
        came = "failed" if failed else "skipped" if case.find("skipped") is not None else "passed"
        name = node_id(case)
        if name:  # one that fails twice, as in its body and its teardown, stands there twice
            tests[name] = came if tests.get(name) != "failed" else "failed"
        elif failed:
            others.append(case.get("name", ""))
    return tests, others


def listed(file: pathlib.Path, tests: dict[str, str]) -> tuple[list[Red], list[str]]:
    """The list's lines that can be used, and what is wrong with the others."""
    reds: list[Red] = []
    wrong: list[str] = []
    try:
        lines = file.read_text("utf-8").splitlines() if file.exists() else []
    except (OSError, UnicodeDecodeError) as error:
        return [], [f"{file}: can't be read ({error}): write it anew as UTF-8 text"]
    if len(lines) > MOST:
        wrong.append(f"{file}:{MOST + 1}: over {MOST} lines: mend a listed test and take its line out")
    for number, line in enumerate(lines, 1):
        place = f"{file}:{number}"
        parts = line.split(",")
        # An id may hold commas itself: it is the longest beginning of the line that is a test's.
        ends = [end for end in range(1, len(parts) - 1) if ",".join(parts[:end]).strip() in tests]
        end = max(ends, default=1)
        test, cause = ",".join(parts[:end]).strip(), ",".join(parts[end:-1]).strip()
        issue = parts[-1].strip()
        if len(parts) < 3 or not (test and cause and issue):
            wrong.append(f"{place}: not `test, cause, issue`: write all three, with commas between")
        elif test not in tests:
            wrong.append(f"{place}: no test that ran is called {test}: give a node id as pytest prints it")
        elif test in [red.test for red in reds]:
            wrong.append(f"{place}: {test} is listed twice: take one line out")
        elif tests[test] != "failed":
            wrong.append(f"{place}: {test} {tests[test]}: take the line out, it has to fail")
        else:
            reds.append(Red(place, test, cause, issue))
    return reds, wrong


def main(result: str, status: str, list_file: str = "KNOWN-RED.txt") -> int:
    tests: dict[str, str] = {}
    others: list[str] = []
    wrong: list[str] = []
    try:
        tests, others = outcomes(pathlib.Path(result))
    except (OSError, ET.ParseError) as error:
        wrong.append(f"{result}: no whole result of pytest ({error}): see what it printed")
    reds, in_list = listed(pathlib.Path(list_file), tests)
    wrong += in_list
    for red in reds:
        print(f"known red: {red.test} (cause: {red.cause}; issue: {red.issue})")
    may_fail = {red.test for red in reds}
    failed = [name for name, came in tests.items() if came == "failed"]
    wrong += [f"failed: {name}" for name in [*failed, *others] if name not in may_fail]
    passed = sum(came == "passed" for came in tests.values())
    if not passed:
        wrong.append("no test ran, or none passed")
    if int(status) != (TESTS_FAILED if failed or others else 0):
        wrong.append(f"pytest ended with {status}, and its result doesn't say why: see what it printed")
    for line in wrong:
        print(line)
    print(f"{passed} passed, {len(failed) + len(others)} failed")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
