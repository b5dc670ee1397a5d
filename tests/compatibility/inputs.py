"""Valid and invalid files that the tests give to the program; `record` stores them in the recorded data."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

DEPLOY = Path(__file__).parents[2] / "deploy"
EXAMPLES = ("duties", "fleet", "forwarder", "node", "planner", "ruled")

RICH_RULES = """version = 9007199254740991
zones = ["c"]

[[rules]]
name = "weights of zones, and a choice of two kinds after it"
frontends = ["lookup"]
plans = ["team"]
customers = {share = 0.5, salt = "first"}
at = ["a", "c"]
attempts = 3
window = 0.25
servers = {zones = {a = 3, b = 1.5}, fallbacks = [{zones = ["c"], cells = [0, 1]}, "any"]}

[[rules]]
customers = {share = 0.25}
servers = {cells = {0 = 1, 1 = 2}, names = ["s-0", "s-1", "s-2"], fallbacks = ["any"]}

[[rules]]
name = "names with weights"
servers = {names = {s-1 = 1, s-4 = 1}, fallbacks = [{names = ["s-2"]}, "any"]}
"""

Files = dict[str, str]
Change = Callable[[dict[str, Any]], object]


def example(name: str) -> dict[str, Any]:
    """Returns the content of a shipped example file."""
    example_file: dict[str, Any] = json.loads((DEPLOY / f"example-{name}.json").read_text())
    return example_file


def changed(name: str, change: Change) -> Files:
    """Returns a shipped example file with one change."""
    fields = example(name)
    change(fields)
    return {"config.json": json.dumps(fields)}


def node_with_rules(text: str) -> Files:
    """Returns a node's file and a file with the given routing rules."""
    return {**changed("ruled", lambda f: f.update(rules="rules.toml")), "rules.toml": text}


def rule(body: str) -> Files:
    """Returns a node's file and a file with one routing rule."""
    return node_with_rules(f"version = 1\n[[rules]]\n{body}\n")


def bad_configs() -> dict[str, Files]:
    """Returns files that `check` refuses, by case."""
    return {**bad_node_files(), **bad_member_files(), **bad_rules()}


def bad_node_files() -> dict[str, Files]:
    """Returns node files with an invalid value outside the lists of members and the routing rules."""
    return {
        "no JSON": {"config.json": '{"name": '},
        "no file": {},
        "no listen address": changed("node", lambda f: f.pop("listen")),
        "name of another type": changed("node", lambda f: f.update(name=7)),
        "address without a port": changed("node", lambda f: f.update(listen="localhost")),
        "peer without a port": changed("node", lambda f: f.update(peers=["localhost"])),
        "server without a port": changed("node", lambda f: f["known"]["instances"][0].update(hostPort="x")),
        "seed not hexadecimal": changed("node", lambda f: f.update(seed="xyz")),
        "node number too large": changed("node", lambda f: f["settings"].update(ordinal=1)),
        "no frontend": changed("node", lambda f: f["settings"].update(grades=[])),
        "unknown effect": changed("node", lambda f: f["settings"]["grades"][0].update(effect="x")),
    }


def bad_member_files() -> dict[str, Files]:
    """Returns files with invalid members of a cluster, of a leader election or of a planner group."""
    return {
        "fleet without this node": changed("fleet", lambda f: f["fleet"]["members"].pop("n0")),
        "fleet address twice": changed("fleet", lambda f: f["fleet"]["members"].update(n9="127.0.0.1:7100")),
        "fleet at the clients' address": changed("fleet", lambda f: f["fleet"].update(listen=f["listen"])),
        "duties without a fleet": changed("duties", lambda f: f.pop("fleet")),
        "duties with a strange voter": changed(
            "duties", lambda f: f["duties"].update(voters=["n0", "n1", "x"])
        ),
        "duties with too few voters": changed("duties", lambda f: f["duties"].update(voters=["n0"])),
        "duties of version 2 without voters before": changed(
            "duties", lambda f: f["duties"].update(version=2)
        ),
        "duties with an unknown barred name": changed(
            "duties", lambda f: f["duties"].update(barred={"x": []})
        ),
        "planner out of its planners": changed("planner", lambda f: f.update(name="p9")),
        "planner with a forwarder twice": changed("planner", lambda f: f.update(forwarders=["f0", "f0"])),
        "planner with a short lease": changed("planner", lambda f: f.update(lease_ms=1)),
    }


def bad_rules() -> dict[str, Files]:
    """Returns node files with invalid routing rules."""
    return {
        "rules are no TOML": node_with_rules("version ="),
        "rules without a version": node_with_rules("rules = []"),
        "rules file is missing": changed("ruled", lambda f: f.update(rules="none.toml")),
        "rule with an unknown key": rule("unknown = 1"),
        "rule of an unknown frontend": rule('frontends = ["x"]'),
        "rule of an unknown zone": rule('servers = {zones = ["x"], fallbacks = ["any"]}'),
        "rule without a last fallback": rule('servers = {zones = ["a"]}'),
        "rule that names no server": rule('servers = {fallbacks = ["any"]}'),
        "rule with a share above 1": rule("customers = {share = 1.5}"),
        "rule that never matches": node_with_rules(
            "version = 1\n[[rules]]\nattempts = 1\n[[rules]]\nattempts = 2\n"
        ),
        "fallback after any": rule('servers = {zones = ["a"], fallbacks = ["any", "any"]}'),
    }


def bad_results(good: str) -> dict[str, Files]:
    """Returns result files that `lab compare` refuses, by case; `good` is a valid result file."""
    lines = good.splitlines(keepends=True)
    return {
        "no JSON": {"results.jsonl": "{"},
        "no file": {},
        "cut before the totals": {"results.jsonl": "".join(lines[:-1])},
        "other version": {"results.jsonl": good.replace('"version":1', '"version":2')},
        "a line that is no object": {"results.jsonl": lines[0] + "[1]\n"},
    }


def bad_scripts(good: str) -> dict[str, Files]:
    """Returns fault scripts that `lab rig --replay` refuses, by case; `good` is a valid script."""
    return {
        "no JSON": {"script.json": "{"},
        "no file": {},
        "unknown kind of fault": {"script.json": good.replace('"cut"', '"unknown"')},
        "unknown target": {"script.json": good.replace("n0>s1", "n9>s1")},
        "other version": {"script.json": good.replace('"version": 1', '"version": 2')},
    }


def bad_voter_files(good: bytes, damaged_body: int) -> dict[str, bytes]:
    """Returns damaged log files of an acceptor, made from the valid file `good`.

    An acceptor refuses a damaged entry. It ignores an incomplete entry at the end of the file.
    `damaged_body` is the offset of a byte within the body of an entry.
    """
    return {
        "length damaged": b"\xff" + good[1:],
        "body damaged": good[:damaged_body] + bytes([good[damaged_body] ^ 1]) + good[damaged_body + 1 :],
        "last entry cut short": good[:-1],
        "part of an entry's head at the end": good + b"\x00\x00\x00",
    }
