"""Collects from the source the names that leave the process, by kind and package.

These are fields of messages and files, tags, enum values, commands, options, environment variables, headers,
file names, log events and keys, the simulator's events and actions, and the constants that `--with` accepts.
"""

from __future__ import annotations

import ast
import enum
import importlib
import inspect
import pkgutil
import re
import tomllib
from collections import defaultdict
from dataclasses import fields
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

import onyxpost
from onyxpost import cli, errors
from onyxpost.cluster.statistics import ConnectionStatistics
from onyxpost.core.types import AttemptResult
from onyxpost.forwarder.lease_cache import LeaseCache
from onyxpost.leadership.leadership_log import LeadershipCounters
from onyxpost.node import reload
from onyxpost.simulation import deprecation, mutations
from onyxpost.simulation.cli import simulate
from onyxpost.simulation.discrete_event import policy_overrides
from onyxpost.simulation.load.options import LoadOptions
from onyxpost.simulation.multiprocess import leadership_mutations

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    import click

Names = dict[str, set[str]]  # by package, or by another group of one kind

ROOT = Path(onyxpost.__path__[0])
LOG_FUNCTIONS = frozenset({"LogEvent", "_log", "_log_warning", "log"})
UNSTRUCTURED_LOG_PACKAGES = frozenset({"policy", "simulation"})  # their log lines are texts without keys
WIRE_MODULES = ("decode.py", "encode.py", "host.py")
HEADER = re.compile(rb"[A-Za-z]+(-[A-Za-z]+)*")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
FILE_NAME = re.compile(r"[\w.{}-]*\.(err|json|jsonl|log|part|toml|tmp|xz)")


def collect() -> dict[str, dict[str, list[str]]]:
    """The names by kind and group, sorted."""
    kinds: dict[str, Names] = {
        "fields of messages and files": _struct_fields(),
        "tags of messages": _struct_tags(),
        "values of enums": _enum_values(),
        "fields written by the names of their attributes": _written_attributes(),
        "keys of mappings": _mapping_keys(),
        "log events and keys": _log_names(),
        "HTTP headers": _headers(),
        "environment variables": _matching_texts(re.compile(r"EDGE_[A-Z_]+")),
        "file names": _matching_texts(FILE_NAME),
        "simulator's events, actions and fields": {"simulator_host": set(_wire_names())},
        "commands and options": {"current": set(_commands()), "earlier": set(_earlier_spellings())},
        "constants that --with accepts": {
            "current": set(_overridable_constants()),
            "earlier": set(policy_overrides.EARLIER_NAMES),
        },
        "types of errors": {"all": {kind.__name__ for kind in _subclasses(errors.OperatorError)}},
        "keys of the deploy file": {"deploy": set(tomllib.loads(Path("deploy/balancer.toml").read_text()))},
    }
    return {
        kind: {group: sorted(found) for group, found in sorted(names.items()) if found}
        for kind, names in kinds.items()
    }


def _modules() -> Iterator[Any]:
    for module in pkgutil.walk_packages(onyxpost.__path__, "onyxpost."):
        if not module.name.endswith("__main__"):
            yield importlib.import_module(module.name)


def _classes() -> Iterator[type]:
    for module in _modules():
        for kind in vars(module).values():
            if inspect.isclass(kind) and kind.__module__ == module.__name__:
                yield kind


def _package(module: str) -> str:
    return module.split(".")[1]


def _structs() -> Iterator[Any]:
    return (kind for kind in _classes() if issubclass(kind, msgspec.Struct))


def _struct_fields() -> Names:
    names: Names = defaultdict(set)
    for kind in _structs():
        if not kind.__struct_config__.array_like:
            found = (field.encode_name for field in msgspec.structs.fields(kind))
            names[_package(kind.__module__)].update(found)
    return names


def _struct_tags() -> Names:
    names: Names = defaultdict(set)
    for kind in _structs():
        config = kind.__struct_config__
        if config.tag not in (None, kind.__name__):  # a base class has no tag of its own
            names[_package(kind.__module__)].add(f"{config.tag_field}={config.tag}")
    return names


def _enum_values() -> Names:
    names: Names = defaultdict(set)
    for kind in _classes():
        if issubclass(kind, enum.Enum):
            found = {member.value for member in kind if isinstance(member.value, str)}
            names[_package(kind.__module__)].update(found)
    names["core"].update(result.label for result in AttemptResult)
    return names


def _written_attributes() -> Names:
    lease_counters = LeaseCache("node", (), 0).counters
    return {
        "cluster": {field.name for field in fields(ConnectionStatistics)},
        "forwarder": {field.name for field in fields(lease_counters)},
        "leadership": {field.name for field in fields(LeadershipCounters)},
        "node": set(reload.RESTART_FIELDS),
        "simulation": set(LoadOptions._fields),
    }


def _trees() -> Iterator[tuple[str, ast.Module]]:
    for path in sorted(ROOT.rglob("*.py")):
        yield path.relative_to(ROOT).parts[0].removesuffix(".py"), ast.parse(path.read_text())


def _nodes() -> Iterator[tuple[str, ast.AST]]:
    for package, tree in _trees():
        for node in ast.walk(tree):
            yield package, node


def _texts(nodes: Iterable[ast.AST | None]) -> Iterator[str]:
    for node in nodes:
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value
        elif isinstance(node, ast.JoinedStr):
            yield from _texts(node.values)


def _mapping_keys() -> Names:
    names: Names = defaultdict(set)
    for package, node in _nodes():
        if isinstance(node, ast.Dict):
            names[package].update(_texts(node.keys))
        elif isinstance(node, ast.Subscript):
            names[package].update(text for text in _texts([node.slice]) if IDENTIFIER.fullmatch(text))
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == "get":
            names[package].update(_texts(node.args[:1]))
    return names


def _log_names() -> Names:
    names: Names = defaultdict(set)
    for package, tree in _trees():
        if package in UNSTRUCTURED_LOG_PACKAGES:
            continue
        constants = {
            target.id: value
            for statement in tree.body
            if isinstance(statement, ast.Assign)
            for target in statement.targets
            if isinstance(target, ast.Name)
            for value in _texts([statement.value])
        }
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _function_name(node) in LOG_FUNCTIONS:
                names[package].update(_texts(node.args[:1]))
                used = (each.id for each in ast.walk(node) if isinstance(each, ast.Name))
                names[package].update(constants[name] for name in used if name in constants)
                names[package].update(keyword.arg for keyword in node.keywords if keyword.arg)
    return names


def _function_name(call: ast.Call) -> str:
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def _headers() -> Names:
    names: Names = defaultdict(set)
    for package, node in _nodes():
        if isinstance(node, ast.Constant) and isinstance(node.value, bytes) and HEADER.fullmatch(node.value):
            names[package].add(node.value.decode().lower())
    return names


def _matching_texts(pattern: re.Pattern[str]) -> Names:
    names: Names = defaultdict(set)
    for package, node in _nodes():
        names[package].update(text for text in _texts([node]) if pattern.fullmatch(text))
    return names


def _wire_names() -> Iterator[str]:
    for name in WIRE_MODULES:
        tree = ast.parse((ROOT / "simulator_host" / name).read_text())
        yield from (text for text in _texts(ast.walk(tree)) if IDENTIFIER.fullmatch(text))
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _function_name(node) == "_write":
                yield from (keyword.arg for keyword in node.keywords if keyword.arg)


def _commands() -> Iterator[str]:
    yield from _parameters("", cli.main)
    yield from _parameters("simulate", simulate)


def _parameters(path: str, command: click.Command) -> Iterator[str]:
    for parameter in command.params:
        yield from (f"{path} {spelling}".strip() for spelling in (*parameter.opts, *parameter.secondary_opts))
    for name, child in getattr(command, "commands", {}).items():
        yield f"{path} {name}".strip()
        yield from _parameters(f"{path} {name}".strip(), child)


def _earlier_spellings() -> Iterator[str]:
    yield cli.DEPRECATED_SIMULATE
    yield from deprecation.CURRENT_COMMANDS
    yield from deprecation.CURRENT_OPTIONS
    for mutation in mutations.MUTATIONS.values():
        yield from (mutation.name, mutation.old_name)
    for leadership_mutation in leadership_mutations.LEADERSHIP_MUTATIONS.values():
        yield from (leadership_mutation.name, leadership_mutation.old_name)


def _overridable_constants() -> Iterator[str]:
    for owner in policy_overrides.OVERRIDABLE_CLASSES:
        for name, value in vars(owner).items():
            if name.isupper() and isinstance(value, int | float):
                yield f"{owner.__name__}.{name}"


def _subclasses(kind: type) -> Iterator[type]:
    for child in kind.__subclasses__():
        if child.__module__.startswith("onyxpost."):
            yield child
            yield from _subclasses(child)
