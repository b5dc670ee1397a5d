"""Errors on the command line: one line with location, cause and remedy, and the exit code."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import pytest
from click.testing import CliRunner

from onyxpost import errors, process
from onyxpost.cli import main
from onyxpost.node.serve import serve
from onyxpost.planner import config
from onyxpost.simulation.errors import (
    InvalidFaultScriptError,
    InvalidOptionError,
    InvalidResultsError,
    NotLoopbackError,
    SimulationFileError,
    SimulationStalledError,
)
from tests.edge.harness import DEPLOYMENT_SETTINGS, node_fields
from tests.process.operator_errors import PLANNER_FIELDS, assert_reported_in_one_line

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.errors import OperatorError

TOO_MANY_OPEN_FILES_ERRNO = 24


@pytest.mark.parametrize(
    ("content", "error_type", "path"),
    [
        (None, errors.FileOpenError, "No such file"),
        ('{"name": ', errors.ParseError, "truncated"),
        (node_fields(listen=7), errors.InvalidValueError, "`$.listen`"),
        (node_fields(seed="x"), errors.InvalidValueError, "`$.seed`"),
        (node_fields(listen="nowhere"), errors.InvalidAddressError, "`$.listen`"),
        (node_fields(("x", 99999)), errors.InvalidAddressError, "`$.known.instances[0].hostPort`"),
        (
            node_fields(settings=DEPLOYMENT_SETTINGS | {"ordinal": 2}),
            errors.ConflictingValuesError,
            "`$.ordinal`",
        ),
    ],
)
def test_an_unusable_node_file_is_reported_by_serve_and_check(
    content: str | dict[str, Any] | None,
    error_type: type[OperatorError],
    path: str,
    config_file: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    if content is not None:
        config_file.write_text(content if isinstance(content, str) else json.dumps(content))
    monkeypatch.setenv("EDGE_CONFIG", str(config_file))
    assert serve() == 2
    reported = capsys.readouterr().err
    assert_reported_in_one_line(reported, str(config_file), path, error_type)
    checked = CliRunner().invoke(main, ["check", str(config_file)])
    assert (checked.exit_code, checked.output) == (2, reported)


def test_a_node_without_a_file_is_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("EDGE_CONFIG", "")
    assert serve() == 2
    assert errors.NoConfigFileError.remedy in capsys.readouterr().err


@pytest.mark.parametrize(
    ("changed", "error_type", "path"),
    [
        ({"lease_ms": "long"}, errors.InvalidValueError, "`$.lease_ms`"),
        ({"listen": "p:x"}, errors.InvalidAddressError, "`$.listen`"),
        ({"name": "p9"}, errors.ConflictingValuesError, "p9"),
    ],
)
def test_an_unusable_planner_file_is_reported(
    changed: dict[str, Any], error_type: type[OperatorError], path: str, config_file: Path
) -> None:
    config_file.write_text(json.dumps(PLANNER_FIELDS | changed))
    result = CliRunner().invoke(main, ["plan", str(config_file)])
    assert result.exit_code == 2
    assert_reported_in_one_line(result.output, str(config_file), path, error_type)


@pytest.mark.parametrize(
    ("arguments", "error_type"),
    [
        (["discrete-event", "nowhere"], SimulationFileError),
        (["discrete-event", "FILE"], InvalidFaultScriptError),
        (["discrete-event", "calm", "--seeds", "x"], InvalidOptionError),
        (["compare", "README.md", "README.md"], InvalidResultsError),
        (["load", "192.0.2.1:80", "--node", "x"], NotLoopbackError),
        (["load", "nowhere", "--node", "x"], errors.InvalidAddressError),
        (["load", "127.0.0.1:1", "--node", "/no/such"], errors.FileOpenError),
    ],
)
def test_unusable_arguments_of_the_simulation_are_reported(
    arguments: list[str], error_type: type[OperatorError], config_file: Path
) -> None:
    config_file.write_text("seconds = 'many'")
    arguments = [str(config_file) if argument == "FILE" else argument for argument in arguments]
    result = CliRunner().invoke(main, ["simulate", *arguments])
    assert result.exit_code == 2, result.output
    assert_reported_in_one_line(result.output, "", "", error_type)


def test_a_stuck_simulation_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_stalled(*_: object, **__: object) -> None:
        raise SimulationStalledError("nothing is due any more")

    monkeypatch.setattr("onyxpost.simulation.deterministic.run_seeds", raise_stalled)
    result = CliRunner().invoke(main, ["simulate", "deterministic", "--seeds", "1"])
    assert result.exit_code == 1
    assert_reported_in_one_line(result.output, "", "nothing is due", SimulationStalledError)


@pytest.mark.parametrize("case", ["node", "peers", "planner"])
def test_an_address_in_use_is_reported_with_exit_code_1(case: str, config_file: Path) -> None:
    socket_type = socket.SOCK_DGRAM if case == "peers" else socket.SOCK_STREAM
    with socket.socket(type=socket_type) as bound:
        bound.bind(("127.0.0.1", 0))
        if socket_type is socket.SOCK_STREAM:
            bound.listen()
        address = "{}:{}".format(*bound.getsockname())
        fields_and_arguments: dict[str, tuple[dict[str, Any], list[str]]] = {
            "node": (node_fields(listen=address), ["serve"]),
            "peers": (node_fields(peer_listen=address), ["serve"]),
            "planner": (PLANNER_FIELDS | {"listen": address}, ["plan", str(config_file)]),
        }
        fields, arguments = fields_and_arguments[case]
        config_file.write_text(json.dumps(fields))
        result = subprocess.run(
            [sys.executable, "-m", "onyxpost", *arguments],
            capture_output=True,
            text=True,
            env={**os.environ, "EDGE_CONFIG": str(config_file)},
            timeout=20.0,
            check=False,
        )
    assert result.returncode == 1, result.stderr
    assert_reported_in_one_line(result.stderr, address, "Address already in use", errors.ListenError)


def test_any_other_refusal_of_the_system_is_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def run(*_: object) -> int:
        raise OSError(TOO_MANY_OPEN_FILES_ERRNO, "Too many open files")

    class IgnoredLog:
        def __init__(self, *_: object) -> None:
            pass

        def capture_library_logs(self) -> None:
            pass

    monkeypatch.setattr(process, "StructuredLog", IgnoredLog)
    assert process.run_process(lambda: config.decode_config(PLANNER_FIELDS), run) == 1
    assert_reported_in_one_line(
        capsys.readouterr().err, "p0", "Too many open files", errors.OperatingSystemError
    )
