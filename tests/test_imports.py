"""Imports between packages go one way: no cycles of modules, and no two packages that import each other."""

import ast
from collections import defaultdict
from pathlib import Path

ROOT = Path("onyxpost")

# For each package the packages that it must not import. Shared packages are below the packages that use them.
LOWER_PACKAGES = {
    "runtime": {"cluster", "edge", "forwarder", "leadership", "node", "planner", "policy", "simulation"},
    "core": {"cluster", "config", "edge", "forwarder", "leadership", "node", "planner", "policy", "runtime"},
    "policy": {"cluster", "config", "edge", "forwarder", "leadership", "node", "planner", "runtime"},
    "edge": {"cluster", "forwarder", "leadership", "node", "planner", "rollout", "simulation"},
    "cluster": {"edge", "forwarder", "leadership", "node", "planner", "rollout", "simulation"},
    "leadership": {"edge", "forwarder", "node", "planner", "rollout", "simulation"},
}


def modules() -> dict[str, Path]:
    """Returns the paths of all modules by dotted name; a package's `__init__` has the name of the package."""
    found = {}
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imports() -> dict[str, set[str]]:
    """Returns the modules that each module imports, including imports for types and inside functions."""
    known = modules()
    found: dict[str, set[str]] = {}
    for name, path in known.items():
        targets: set[str] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                targets.update(alias.name for alias in node.names)
            elif isinstance(node, ast.ImportFrom) and node.module:
                inner = {f"{node.module}.{alias.name}" for alias in node.names}
                targets |= (inner & known.keys()) or {node.module}
        found[name] = (targets & known.keys()) - {name}
    return found


def package_of(module: str) -> str:
    return [*module.split("."), ""][1]


def package_imports() -> dict[str, set[str]]:
    found: dict[str, set[str]] = defaultdict(set)
    for module, targets in imports().items():
        found[package_of(module)] |= {package_of(target) for target in targets} - {package_of(module), ""}
    found.pop("", None)
    return found


def reachable_from(start: str, graph: dict[str, set[str]]) -> set[str]:
    reached: set[str] = set()
    remaining = [start]
    while remaining:
        new = graph[remaining.pop()] - reached
        reached |= new
        remaining += new
    return reached


def test_no_module_imports_itself_through_others() -> None:
    graph = imports()
    assert [name for name in graph if name in reachable_from(name, graph)] == []


def test_no_two_packages_import_each_other() -> None:
    graph = package_imports()
    pairs = [(one, other) for one in graph for other in graph[one] if one in graph.get(other, set())]
    assert pairs == []


def test_shared_packages_import_nothing_that_lies_above_them() -> None:
    graph = package_imports()
    assert {name: graph[name] & above for name, above in LOWER_PACKAGES.items() if graph[name] & above} == {}
