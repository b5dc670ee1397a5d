"""Errors as an operator sees them, on the command line and in the log: what, where, and the remedy."""

import asyncio
import gc
import importlib
import io
import json
import os
import pkgutil
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

import onyxpost
from onyxpost import errors, process
from onyxpost.cli import main
from onyxpost.errors import OperatorError
from onyxpost.node.serve import serve
from onyxpost.planner import config
from onyxpost.planner.errors import RestartRequiredError
from onyxpost.planner.planner import Planner
from onyxpost.runtime.structured_log import StructuredLog
from onyxpost.simulation.errors import (
    InvalidFaultScriptError,
    InvalidOptionError,
    InvalidResultsError,
    NotLoopbackError,
    SimulationFileError,
    SimulationStalledError,
)
from tests.edge.harness import SETTINGS, RunningNode, node_fields

ON_CALL_PAGE = Path("docs/on-call.md").read_text()
PLANNER: dict[str, Any] = json.loads(Path("deploy/example-planner.json").read_text())
TOO_MANY_OPEN_FILES = 24


def error_types(base: type[OperatorError] = OperatorError) -> list[type[OperatorError]]:
    """All types of errors of the program below `base`."""
    below = [kind for kind in base.__subclasses__() if kind.__module__.startswith("onyxpost.")]
    return list(dict.fromkeys(below + [kind for child in below for kind in error_types(child)]))


def documentation_faults(kind: type[OperatorError], page: str) -> list[str]:
    """What an error type lacks: a remedy of its own, or one row with that remedy on the page."""
    rows = [line for line in page.splitlines() if line.startswith(f"| `{kind.__name__}` |")]
    faults = [] if vars(kind).get("remedy") else ["no remedy of its own"]
    is_listed = len(rows) == 1 and f"| {kind.remedy} |" in rows[0]
    return faults if is_listed else [*faults, "not on the page"]


def assert_one_line(output: str, where: str, what: str, kind: type[OperatorError]) -> None:
    """The output is one line that names the place and the cause and ends with the remedy."""
    assert re.search(rf"\Aonyxpost: {re.escape(where)}.*{re.escape(what)}.*\n\Z", output)
    assert output.endswith(f" ({kind.remedy})\n")


def rejected_reloads(out: io.BytesIO) -> list[dict[str, Any]]:
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    return [line for line in lines if line["event"] == "reload refused"]


@pytest.fixture
def file(tmp_path: Path) -> Path:
    return tmp_path / "file.json"


@pytest.fixture
def forget_error_types() -> Iterator[None]:
    """An error type that a test defines is not found by `error_types` in another test."""
    yield
    gc.collect()


def test_each_error_is_in_an_errors_module_has_a_remedy_and_is_listed_on_the_page() -> None:
    for module in pkgutil.walk_packages(onyxpost.__path__, "onyxpost."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    all_types = error_types()
    assert [kind for kind in all_types if kind.__module__.rpartition(".")[2] != "errors"] == []
    leaves = [kind for kind in all_types if not kind.__subclasses__()]
    faults = {kind.__name__: documentation_faults(kind, ON_CALL_PAGE) for kind in leaves}
    assert {name: found for name, found in faults.items() if found} == {}
    assert len({kind.remedy for kind in leaves}) == len(leaves)
    bases = "|".join(kind.__name__ for kind in (OperatorError, *all_types) if kind not in leaves)
    for path in Path("onyxpost").rglob("*.py"):  # a base class has no remedy and is never raised
        assert re.search(rf"\b({bases})\(.*[\"']", path.read_text()) is None, path


@pytest.mark.usefixtures("forget_error_types")
def test_an_error_without_a_remedy_or_a_row_on_the_page_is_found() -> None:
    class UndocumentedError(errors.FileOpenError):
        pass

    assert documentation_faults(UndocumentedError, ON_CALL_PAGE) == [
        "no remedy of its own",
        "not on the page",
    ]
    row = next(line for line in ON_CALL_PAGE.splitlines() if "| `FileOpenError` |" in line)
    for page in (ON_CALL_PAGE.replace(row, ""), ON_CALL_PAGE.replace(errors.FileOpenError.remedy, "pray")):
        assert documentation_faults(errors.FileOpenError, page) == ["not on the page"]


@pytest.mark.parametrize(
    ("content", "kind", "path"),
    [
        (None, errors.FileOpenError, "No such file"),
        ('{"name": ', errors.ParseError, "truncated"),
        (node_fields(listen=7), errors.InvalidValueError, "`$.listen`"),
        (node_fields(seed="x"), errors.InvalidValueError, "`$.seed`"),
        (node_fields(listen="nowhere"), errors.InvalidAddressError, "`$.listen`"),
        (node_fields(("x", 99999)), errors.InvalidAddressError, "`$.known.instances[0].hostPort`"),
        (node_fields(settings=SETTINGS | {"ordinal": 2}), errors.ConflictingValuesError, "`$.ordinal`"),
    ],
)
def test_an_unusable_node_file_is_reported_by_serve_and_check(
    content: str | dict[str, Any] | None,
    kind: type[OperatorError],
    path: str,
    file: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    if content is not None:
        file.write_text(content if isinstance(content, str) else json.dumps(content))
    monkeypatch.setenv("EDGE_CONFIG", str(file))
    assert serve() == 2
    reported = capsys.readouterr().err
    assert_one_line(reported, str(file), path, kind)
    checked = CliRunner().invoke(main, ["check", str(file)])
    assert (checked.exit_code, checked.output) == (2, reported)


def test_a_node_without_a_file_is_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("EDGE_CONFIG", "")
    assert serve() == 2
    assert errors.NoConfigFileError.remedy in capsys.readouterr().err


@pytest.mark.parametrize(
    ("changed", "kind", "path"),
    [
        ({"lease_ms": "long"}, errors.InvalidValueError, "`$.lease_ms`"),
        ({"listen": "p:x"}, errors.InvalidAddressError, "`$.listen`"),
        ({"name": "p9"}, errors.ConflictingValuesError, "p9"),
    ],
)
def test_an_unusable_planner_file_is_reported(
    changed: dict[str, Any], kind: type[OperatorError], path: str, file: Path
) -> None:
    file.write_text(json.dumps(PLANNER | changed))
    result = CliRunner().invoke(main, ["plan", str(file)])
    assert result.exit_code == 2
    assert_one_line(result.output, str(file), path, kind)


@pytest.mark.parametrize(
    ("arguments", "kind"),
    [
        (["run", "nowhere"], SimulationFileError),
        (["run", "FILE"], InvalidFaultScriptError),
        (["run", "calm", "--seeds", "x"], InvalidOptionError),
        (["compare", "README.md", "README.md"], InvalidResultsError),
        (["load", "192.0.2.1:80", "--node", "x"], NotLoopbackError),
        (["load", "nowhere", "--node", "x"], errors.InvalidAddressError),
        (["load", "127.0.0.1:1", "--node", "/no/such"], errors.FileOpenError),
    ],
)
def test_unusable_arguments_of_the_laboratory_are_reported(
    arguments: list[str], kind: type[OperatorError], file: Path
) -> None:
    file.write_text("seconds = 'many'")
    arguments = [str(file) if argument == "FILE" else argument for argument in arguments]
    result = CliRunner().invoke(main, ["lab", *arguments])
    assert result.exit_code == 2, result.output
    assert_one_line(result.output, "", "", kind)


def test_a_stuck_simulation_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def get_stuck(*_: object, **__: object) -> None:
        raise SimulationStalledError("nothing is due any more")

    monkeypatch.setattr("onyxpost.simulation.deterministic.run_seeds", get_stuck)
    result = CliRunner().invoke(main, ["lab", "seeds", "--seeds", "1"])
    assert result.exit_code == 1
    assert_one_line(result.output, "", "nothing is due", SimulationStalledError)


@pytest.mark.parametrize("case", ["node", "peers", "planner"])
def test_an_address_in_use_is_reported_with_exit_code_1(case: str, file: Path) -> None:
    kind = socket.SOCK_DGRAM if case == "peers" else socket.SOCK_STREAM
    with socket.socket(type=kind) as bound:
        bound.bind(("127.0.0.1", 0))
        if kind is socket.SOCK_STREAM:
            bound.listen()
        address = "{}:{}".format(*bound.getsockname())
        processes: dict[str, tuple[dict[str, Any], list[str]]] = {
            "node": (node_fields(listen=address), ["serve"]),
            "peers": (node_fields(peer_listen=address), ["serve"]),
            "planner": (PLANNER | {"listen": address}, ["plan", str(file)]),
        }
        fields, arguments = processes[case]
        file.write_text(json.dumps(fields))
        result = subprocess.run(
            [sys.executable, "-m", "onyxpost", *arguments],
            capture_output=True,
            text=True,
            env={**os.environ, "EDGE_CONFIG": str(file)},
            timeout=20.0,
            check=False,
        )
    assert result.returncode == 1, result.stderr
    assert_one_line(result.stderr, address, "Address already in use", errors.ListenError)


def test_any_other_refusal_of_the_system_is_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def run(*_: object) -> int:
        raise OSError(TOO_MANY_OPEN_FILES, "Too many open files")

    class NoLog:
        def __init__(self, *_: object) -> None:
            pass

        def capture_library_logs(self) -> None:
            pass

    monkeypatch.setattr(process, "StructuredLog", NoLog)
    assert process.run_process(lambda: config.decode_config(PLANNER), run) == 1
    assert_one_line(capsys.readouterr().err, "p0", "Too many open files", errors.OperatingSystemError)


@pytest.mark.parametrize(
    ("changed", "kind", "path"),
    [
        ({"listen": 7}, errors.InvalidValueError, "$.listen"),
        (
            {"planners": {"version": 2, "members": PLANNER["planners"]["members"]}},
            errors.StaleVersionError,
            "$.planners.version",
        ),
    ],
)
def test_a_node_rejects_an_unusable_or_older_file_at_sighup_and_goes_on_as_before(
    changed: dict[str, Any], kind: type[OperatorError], path: str
) -> None:
    async def run() -> None:
        members = PLANNER["planners"]["members"]
        async with RunningNode(planners={"version": 3, "members": members}) as edge:
            before = edge.program.config
            edge.file = node_fields(discovery="127.0.0.1:2", limits={"sockets": 99}, **changed)
            signal.raise_signal(signal.SIGHUP)
            async with asyncio.timeout(5.0):
                while not rejected_reloads(edge.out):
                    await asyncio.sleep(0.001)
            (line,) = rejected_reloads(edge.out)
            assert path in line["cause"]
            assert (line["level"], line["remedy"]) == ("warning", kind.remedy)
            assert edge.program.config is before
            assert edge.program.discovery.address == before.discovery

    asyncio.run(run(), debug=True)


@pytest.mark.parametrize(
    ("changed", "kind"),
    [
        (PLANNER, errors.StaleVersionError),
        ({"lease_ms": 700.0}, RestartRequiredError),
        ({"forwarders": 1}, errors.InvalidValueError),
    ],
)
def test_a_planner_rejects_what_it_cannot_reload_and_goes_on_as_before(
    changed: dict[str, Any], kind: type[OperatorError]
) -> None:
    fields = PLANNER | {"planners": PLANNER["planners"] | {"version": 2}}
    node = config.decode_config(fields)
    out = io.BytesIO()
    lines = StructuredLog("p0", out=io.TextIOWrapper(out, write_through=True))
    planner = Planner(node, lines, lambda: config.decode_config(fields | changed))
    planner.reload()
    assert rejected_reloads(out)[-1]["remedy"] == kind.remedy
    assert planner.config is node
