"""The command line's output, and the imports of serving processes.

A serving process must not import packages that it does not use, because their memory adds up over all nodes.
"""

import os
import subprocess
import sys

import pytest
from click.testing import CliRunner

from onyxpost.cli import main

OPTIONAL_MODULES = (
    "click",
    "matplotlib",
    "numpy",
    "hdrh",
    "argparse",
    "onyxpost.simulation",
    "onyxpost.planner",
    "onyxpost.forwarder",
    "onyxpost.cluster",
    "onyxpost.leadership",
    "onyxpost.rollout",
    "onyxpost.cli",
)
NODE_MODULES = (
    "onyxpost.node",
    "onyxpost.edge.client_listener",
    "onyxpost.edge.upstream_pool",
    "onyxpost.edge.state_machine",
    "onyxpost.edge.discovery_client",
)
IMPORT_PROBE = """
import sys, onyxpost.{0}.serve
if "{0}" == "node":
    from onyxpost.node import config, edge_node
    edge_node.EdgeNode(config.read_config({{"EDGE_CONFIG": "deploy/example-node.json"}}), None, None)
print(*sorted(name for name in sys.modules if name.split(".")[0] in {1} or name in {1}))
"""


def imported_modules(package: str, names: tuple[str, ...]) -> list[str]:
    """Returns which of the modules `names`, or of their submodules, a process of `package` has imported."""
    command = [sys.executable, "-c", IMPORT_PROBE.format(package, names)]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()


def test_a_serving_node_imports_no_optional_package() -> None:
    assert imported_modules("node", OPTIONAL_MODULES) == []
    assert "onyxpost.process" in imported_modules("node", ("onyxpost.process", "none"))


def test_a_serving_process_does_not_load_tls_libraries() -> None:
    command = [sys.executable, "-X", "importtime", "-m", "onyxpost", "serve"]
    completed = subprocess.run(command, capture_output=True, text=True, env={})  # no file is named
    assert completed.returncode == 2
    imported = [line.rpartition("|")[2].strip() for line in completed.stderr.splitlines()]
    assert "asyncio" in imported
    assert "_ssl" not in imported


def test_a_planner_does_not_import_a_node() -> None:
    assert imported_modules("planner", NODE_MODULES) == []


@pytest.mark.parametrize("arguments", [["serve"], ["check"], ["check", "/no/such"]])
def test_an_unusable_file_is_reported_in_one_line_with_exit_code_2(arguments: list[str]) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "onyxpost", *arguments],
        env={**os.environ, "EDGE_CONFIG": "/no/such"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert "/no/such" in result.stderr


@pytest.mark.parametrize(
    ("arguments", "commands"),
    [
        (["--help"], ("serve", "plan", "check", "version", "simulate")),
        (
            ["simulate", "--help"],
            (
                "discrete-event",
                "deterministic",
                "load",
                "stubs",
                "planner-cluster",
                "processes",
                "compare",
                "scenarios",
            ),
        ),
    ],
)
def test_help_names_every_command(arguments: list[str], commands: tuple[str, ...]) -> None:
    output = CliRunner().invoke(main, arguments).output
    for command in commands:
        assert command in output


@pytest.mark.parametrize(
    ("example", "summary"),
    [
        ("node", "n0: 1 servers, 1 frontends\n"),
        ("forwarder", "f0: 1 servers, 1 frontends\n"),
        ("fleet", "n0: 1 servers, 1 frontends\n"),
        ("ruled", "n0: 2 servers, 1 frontends, rules of version 1\n"),
        ("planner", "p0: planner of version 1, 1 forwarders, 1 plans\n"),
    ],
)
def test_the_examples_are_valid(example: str, summary: str) -> None:
    result = CliRunner().invoke(main, ["check", f"deploy/example-{example}.json"])
    assert result.exit_code == 0
    assert result.output == summary
