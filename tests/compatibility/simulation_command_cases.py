"""Commands of the simulations that run in one process, and of the comparison of their results."""

from __future__ import annotations

import json
from typing import Any

from tests.compatibility.command_case import Command

SHORT_SCENARIO = """name = "short"
about = "Three seconds of one surge."
seconds = 3
[fleet]
nodes = 4
servers = 4
zones = 2
[[work]]
name = "look-up"
share = 1
work_ms = [40, 60]
response_target_ms = 500
client_timeout_ms = 1500
[[plans]]
name = "plain"
customers = 8
weight = 1
spread = [2, 4]
ceiling = 1.2
[[events]]
kind = "surge"
at_s = 1
for_s = 1
times = 4
"""


def lab_commands() -> dict[str, Command]:
    """Returns commands that concern the command group of the simulations as a whole."""
    names = ("scenarios", "run", "compare", "seeds", "load", "stand", "town", "rig")
    commands = {f"help of {name}": Command(f"lab {name} --help") for name in names}
    commands |= {f"{name}, unknown option": Command(f"lab {name} --unknown") for name in names}
    return commands | {
        "no command": Command("lab"),
        "unknown command": Command("lab unknown"),
        "unknown option": Command("lab --unknown"),
        "help": Command("lab --help"),
        "scenarios": Command("lab scenarios"),
        "scenarios, own process": Command("lab scenarios", own_process=True),
        "scenarios with an argument": Command("lab scenarios x"),
        "unknown command, own process": Command("lab unknown", own_process=True),
    }


ZONE_LOST = 'kind = "zone-lost"\nat_s = 1\nfor_s = 1\nzone = 2'
TWICE = '[[plans]]\nname = "plain"\ncustomers = 8\nweight = 1\nspread = [2, 4]\n[[events]]'
EMULATOR_OPTIONS: dict[str, str] = {
    "seeds are no numbers": "--seeds x",
    "seeds in the wrong order": "--seeds 5-1",
    "seeds empty": "--seeds=",
    "seed negative": "--seeds=-1",
    "seed too large": "--seeds 4294967296",
    "too many seeds": "--seeds 0-1000000",
    "nodes no number": "--nodes x",
    "nodes negative": "--nodes=-3",
    "too many nodes": "--nodes 5001",
    "fewer nodes than a customer's": "--nodes 1",
    "servers no number": "--servers x",
    "too many servers": "--servers 5001",
    "fewer servers than zones": "--servers 1",
    "jobs none": "--jobs 0",
    "too many jobs": "--jobs 257",
    "out is a folder": "--out FOLDER",
    "out in no folder": "--out FOLDER/none/out.jsonl",
    "constant without a value": "--with Theta.PERIOD",
    "constant with a word": "--with Theta.PERIOD=x",
    "constant of no class": "--with Unknown.PERIOD=1",
    "constant that is none": "--with Theta.UNKNOWN=1",
    "constant in lower case": "--with Theta.period=1",
    "constant without a class": "--with PERIOD=1",
    "constant that is no number": "--with Gateway.NAME=1",
    "out without a value": "--out",
    "an option's value is missing": "--seeds",
}
EMULATOR_RUNS: dict[str, str] = {
    "plays": "",
    "plays two seeds": "--seeds 1,3",
    "plays an earlier name of a constant": "--with Theta.PERIOD=250",
    "plays and writes": "--out FOLDER/out.jsonl",
}
SCENARIO_CHANGES: dict[str, tuple[str, str]] = {
    "seconds none": ("seconds = 3", "seconds = 0"),
    "seconds of another type": ("seconds = 3", 'seconds = "x"'),
    "no TOML": ("seconds = 3", "seconds ="),
    "unknown key": ("seconds = 3", "seconds = 3\nunknown = 1"),
    "key missing": ("seconds = 3\n", ""),
    "unknown event": ('kind = "surge"', 'kind = "unknown"'),
    "event after the end": ("at_s = 1", "at_s = 3"),
    "event of an unknown plan": ("times = 4", 'times = 4\nplan = "x"'),
    "zone out of range": ('kind = "surge"\nat_s = 1\nfor_s = 1\ntimes = 4', ZONE_LOST),
    "range turned round": ("work_ms = [40, 60]", "work_ms = [60, 40]"),
    "target above the timeout": ("response_target_ms = 500", "response_target_ms = 1501"),
    "spread above the nodes": ("spread = [2, 4]", "spread = [2, 5]"),
    "spread turned round": ("spread = [2, 4]", "spread = [3, 2]"),
    "more zones than servers": ("zones = 2", "zones = 5"),
    "links turned round": ("[[work]]", "[links]\npeer_ms = [9, 1]\n[[work]]"),
    "unknown effect": ("share = 1", 'share = 1\neffect = "x"'),
    "a plan's name twice": ("[[events]]", TWICE),
    "planners none": ("[[events]]", "[planners]\ncount = 0\n[[events]]"),
}


def emulator_commands() -> dict[str, Command]:
    """Returns commands of the discrete-event simulation.

    They use one process, because these cases do not test the distribution of seeds over processes.
    """
    short = {"short.toml": SHORT_SCENARIO}

    def short_run(arguments: str) -> Command:
        return Command(f"lab run FOLDER/short.toml --jobs 1 {arguments}", short)

    def changed_scenario(before: str, after: str) -> Command:
        assert before in SHORT_SCENARIO
        files = {"short.toml": SHORT_SCENARIO.replace(before, after)}
        return Command("lab run FOLDER/short.toml --jobs 1", files)

    commands = {name: short_run(text) for name, text in {**EMULATOR_OPTIONS, **EMULATOR_RUNS}.items()}
    commands |= {name: changed_scenario(*change) for name, change in SCENARIO_CHANGES.items()}
    return commands | {
        "no scenario": Command("lab run"),
        "unknown scenario": Command("lab run unknown"),
        "no file": Command("lab run FOLDER/none.toml"),
        "one of two unknown": Command("lab run FOLDER/short.toml unknown", short),
        "a folder": Command("lab run FOLDER"),
        "no file, own process": Command("lab run FOLDER/none.toml", own_process=True),
    }


def compare_commands() -> dict[str, Command]:
    """Returns commands of the comparison, except those with the invalid files of `refused-files.json`."""
    run = {"kind": "run", "scenario": "short", "seed": 1, "nodes": 4, "servers": 4, "seconds": 3.0}
    head = {key: value for key, value in run.items() if key != "kind"}
    columns = (
        "passed_value worst_10s denied_with_room beyond_quota late mean_ms attempts_per_try"
        " handshakes_per_attempt connections_most messages_per_try unheard cold_load_most breaches"
    )
    total = {"kind": "total", **head, **dict.fromkeys(columns.split(), 1.0)}

    def results(**changes: Any) -> str:
        return "".join(json.dumps({**line, **changes, "version": 1}) + "\n" for line in (run, total))

    both = "lab compare FOLDER/a.jsonl FOLDER/b.jsonl"
    return {
        "no argument": Command("lab compare"),
        "one argument": Command("lab compare FOLDER/a.jsonl", {"a.jsonl": results()}),
        "the same": Command(both, {"a.jsonl": results(), "b.jsonl": results()}),
        "nothing in common": Command(both, {"a.jsonl": results(), "b.jsonl": results(scenario="other")}),
        "another size": Command(both, {"a.jsonl": results(), "b.jsonl": results(nodes=5)}),
        "second is missing": Command(both, {"a.jsonl": results()}),
        "second is empty": Command(both, {"a.jsonl": results(), "b.jsonl": ""}),
        "no version": Command(both, {"a.jsonl": '{"kind":"total"}\n', "b.jsonl": results()}),
        "a folder": Command("lab compare FOLDER FOLDER"),
        "plot is a folder": Command(f"{both} --plot FOLDER", {"a.jsonl": results(), "b.jsonl": results()}),
        "three arguments": Command("lab compare a b c"),
    }


def seeds_commands() -> dict[str, Command]:
    """Returns commands of the deterministic simulation."""
    return {
        "seeds are no numbers": Command("lab seeds --seeds x"),
        "seeds in the wrong order": Command("lab seeds --seeds 9-1"),
        "seeds empty": Command("lab seeds --seeds="),
        "seed too large": Command("lab seeds --seeds 4294967296"),
        "too many seeds": Command("lab seeds --seeds 1-1000001"),
        "unknown plant": Command("lab seeds --plant unknown"),
        "plant of leadership": Command("lab seeds --plant careless"),
        "plant without a value": Command("lab seeds --plant"),
        "jobs none": Command("lab seeds --jobs 0"),
        "too many jobs": Command("lab seeds --jobs 257"),
        "jobs no number": Command("lab seeds --jobs x"),
        "out is a folder": Command("lab seeds --out FOLDER"),
        "out in no folder": Command("lab seeds --seeds 1 --jobs 1 --out FOLDER/none/out.jsonl"),
        "an argument": Command("lab seeds 1-3"),
        "plays": Command("lab seeds --seeds 1,2 --jobs 1 --out FOLDER/out.jsonl"),
        "a plant is found": Command("lab seeds --seeds 5 --jobs 1 --plant deaf-to-drains"),
        "unknown plant, own process": Command("lab seeds --plant unknown", own_process=True),
    }
