"""Checks of the whole package `onyxpost.policy`: its files, its imports and the events that it handles."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path
from typing import get_args

import pytest

import onyxpost.policy
from onyxpost.core.events import Event
from tests.policy.gateway_host import Host

POLICY_FOLDER = Path(onyxpost.policy.__file__).parent
ROOT = POLICY_FOLDER.parent.parent
MODULES = sorted(POLICY_FOLDER.glob("*.py"))


def test_the_deployment_file_names_each_module_once() -> None:
    named = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    assert sorted(named) == [module.relative_to(ROOT).as_posix() for module in MODULES]


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_a_module_imports_only_the_standard_library_and_the_decision_packages(module: Path) -> None:
    imported = set()
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(node.module or "")
    own = {name for name in imported if name.startswith(("onyxpost.core", "onyxpost.policy"))}
    assert {name.partition(".")[0] for name in imported - own} <= set(sys.stdlib_module_names)


def test_every_event_has_a_handler() -> None:
    assert Host().gateway.dispatcher.handled_types() == set(get_args(Event))
