"""Commands of the simulations that use real processes and sockets."""

from __future__ import annotations

import json
from typing import Any

from tests.compatibility import inputs
from tests.compatibility.command_case import Command, Files

PROCESSES_SCENARIO = """about = "short"
stage = "edge"
nodes = 3
seconds = 2.0
[faults]
cut = { per_minute = 60.0 }
"""
STUB_FAULTS = '[[faults]]\nat_s = 1.0\nkind = "hang"\n'
PROCESS_OPTIONS: dict[str, str] = {
    "no nodes": "edge-cuts --nodes 0",
    "too many nodes": "edge-cuts --nodes 65",
    "nodes no number": "edge-cuts --nodes x",
    "no seconds": "edge-cuts --seconds 0",
    "seconds no number": "edge-cuts --seconds x",
    "seconds not finite": "edge-cuts --seconds nan",
    "too many seconds": "edge-cuts --seconds 600.5",
    "seeds are no numbers": "edge-cuts --seeds x",
    "seeds in the wrong order": "edge-cuts --seeds 3-1",
    "too many seeds": "edge-cuts --seeds 0-1000000",
    "unknown plant": "edge-cuts --plant unknown",
    "plant of leadership on edge nodes": "edge-cuts --plant careless",
    "out is a folder": "edge-cuts --out FOLDER",
    "replay is a folder": "--replay FOLDER",
    "replay file is missing": "--replay FOLDER/none.json",
    "no scenario": "",
    "unknown scenario": "unknown",
    "scenario file is missing": "FOLDER/none.toml",
    "two scenarios": "edge-cuts edge-stalls",
    "plant without a value": "edge-cuts --plant",
}
PROCESS_SCENARIO_CHANGES: dict[str, tuple[str, str]] = {
    "scenario is no TOML": ("seconds = 2.0", "seconds ="),
    "scenario of unknown stage": ('stage = "edge"', 'stage = "unknown"'),
    "scenario with an unknown key": ("nodes = 3", "nodes = 3\nunknown = 1"),
    "scenario without a stage": ('stage = "edge"\n', ""),
    "scenario with too many nodes": ("nodes = 3", "nodes = 65"),
    "scenario with an unknown fault": ("cut =", "unknown ="),
    "scenario with too many faults": ("60.0", "600.5"),
    "scenario with a fault without duration": ("60.0", "60.0, lasts_s = [0.0, 1.0]"),
    "scenario with a rate too high": ("[faults]", "[load]\nrate = 501.0\n[faults]"),
}


def process_commands() -> dict[str, Command]:
    """Returns commands of the multiprocess simulation; each is refused before a process is started."""
    scenario = {"own.toml": PROCESSES_SCENARIO}

    def changed_scenario(before: str, after: str) -> Command:
        assert before in PROCESSES_SCENARIO
        return Command("lab rig FOLDER/own.toml", {"own.toml": PROCESSES_SCENARIO.replace(before, after)})

    commands = {name: Command(f"lab rig {text}") for name, text in PROCESS_OPTIONS.items()}
    commands |= {name: changed_scenario(*change) for name, change in PROCESS_SCENARIO_CHANGES.items()}
    return commands | {
        "kept is a file": Command("lab rig edge-cuts --kept FOLDER/own.toml", scenario),
        "unknown scenario, own process": Command("lab rig unknown", own_process=True),
        **replay_commands(),
    }


def replayed(arguments: str = "", **changes: Any) -> Command:
    """Returns the command that replays a fault script with some keys changed."""
    script = {"scenario": "edge-cuts", "seed": 7, "nodes": 3, "seconds": 4.0, "faults": [], "version": 1}
    files = {"script.json": json.dumps({**script, **changes})}
    return Command(f"lab rig --replay FOLDER/script.json {arguments}", files)


def replay_commands() -> dict[str, Command]:
    """Returns replays of fault scripts that are invalid."""
    fault: dict[str, Any] = {"at": 1.0, "kind": "cut", "whom": "n0>n1", "lasts": 1.0}
    return {
        "script with an unknown key": replayed(unknown=1),
        "script without faults": Command(
            "lab rig --replay FOLDER/script.json", {"script.json": '{"scenario": "edge-cuts"}'}
        ),
        "script with too many nodes": replayed(nodes=65),
        "script with no seconds": replayed(seconds=0.0),
        "script of an unknown scenario": replayed(scenario="unknown"),
        "script with another scenario that is unknown": replayed("unknown"),
        "script of another version": replayed(version=2),
        "script with a plant of leadership": replayed(plant="careless"),
        "script with an unknown node": replayed(faults=[fault | {"whom": "n3>n0"}]),
        "script with a strange target": replayed(faults=[fault | {"whom": "x"}]),
        "script with an unknown node in a group": replayed(
            faults=[fault | {"kind": "groups", "whom": "all", "groups": [["n0"], ["n7"]]}]
        ),
        "script with a fault without a time": replayed(faults=[{"kind": "cut", "whom": "n0", "lasts": 1.0}]),
    }


def load_commands() -> dict[str, Command]:
    """Returns commands of the load generator; each is refused before a request is sent."""
    node = inputs.changed("node", lambda f: f)

    def load_command(options: str = "", address: str = "127.0.0.1:HELD_PORT") -> Command:
        return Command(f"lab load {address} --node FOLDER/config.json {options}", node)

    return {
        "no argument": Command("lab load"),
        "no node's file": Command("lab load 127.0.0.1:1"),
        "address elsewhere": load_command(address="192.0.2.1:80"),
        "address by name": load_command(address="localhost:80"),
        "address without a port": load_command(address="127.0.0.1"),
        "address with a bad port": load_command(address="127.0.0.1:x"),
        "rate none": load_command("--rate 0"),
        "rate negative": load_command("--rate=-1"),
        "rate no number": load_command("--rate x"),
        "too many requests": load_command("--rate 200000 --seconds 10"),
        "seconds none": load_command("--seconds 0"),
        "too many seconds": load_command("--seconds 3600.5"),
        "customers none": load_command("--customers 0"),
        "connections none": load_command("--connections 0"),
        "too many connections": load_command("--connections 20001"),
        "seed no number": load_command("--seed x"),
        "out is a folder": load_command("--out FOLDER"),
        "node's file is missing": Command("lab load 127.0.0.1:1 --node FOLDER/none.json"),
        "node's file is no JSON": Command(
            "lab load 127.0.0.1:1 --node FOLDER/config.json", {"config.json": "{"}
        ),
        "node's file is wrong": Command(
            "lab load 127.0.0.1:1 --node FOLDER/config.json",
            inputs.changed("node", lambda f: f["settings"].update(grades=[])),
        ),
    }


def stand_commands() -> dict[str, Command]:
    """Returns commands of the stub upstreams, which stop after a tenth of a second where they start."""
    node = inputs.changed("node", lambda f: f)

    def stub_command(options: str = "", faults: str = STUB_FAULTS, discovery: str = "127.0.0.1:0") -> Command:
        arguments = "lab stand FOLDER/out.json --example FOLDER/config.json --faults FOLDER/faults.toml"
        arguments += f" --discovery {discovery} --seconds 0.1 {options}"
        return Command(arguments, {**node, "faults.toml": faults})

    short = "--discovery 127.0.0.1:0 --seconds 0.1"
    return {
        "no argument": Command("lab stand"),
        "out is a folder": Command("lab stand FOLDER"),
        "out in no folder": Command(
            f"lab stand FOLDER/none/out.json --example FOLDER/config.json {short}", node
        ),
        "example is missing": Command(f"lab stand FOLDER/out.json --example FOLDER/none.json {short}"),
        "example is no JSON": Command(
            f"lab stand FOLDER/out.json --example FOLDER/config.json {short}", {"config.json": "{"}
        ),
        "servers none": stub_command("--servers 0"),
        "too many servers": stub_command("--servers 201"),
        "delay no number": stub_command("--delay x"),
        "port too large": stub_command("--port 65001"),
        "seconds too few": stub_command("--seconds 0.05"),
        "seconds too many": stub_command("--seconds 3600.5"),
        "discovery elsewhere": stub_command(discovery="192.0.2.1:80"),
        "discovery without a port": stub_command(discovery="127.0.0.1"),
        "faults file is missing": Command(f"lab stand FOLDER/out.json --faults FOLDER/none.toml {short}"),
        "faults are no TOML": stub_command(faults="[[faults"),
        "unknown fault": stub_command(faults=STUB_FAULTS.replace("hang", "unknown")),
        "fault with an unknown key": stub_command(faults=STUB_FAULTS + "unknown = 1\n"),
        "fault of an unknown server": stub_command(faults=STUB_FAULTS + "server = 3\n"),
        "fault before the start": stub_command(faults=STUB_FAULTS.replace("1.0", "-1.0")),
        "fault without duration": stub_command(faults=STUB_FAULTS + "for_s = 0.0\n"),
        "stands": stub_command(),
    }


def planner_cluster_commands() -> dict[str, Command]:
    """Returns commands of the planner cluster; each is refused before a process is started."""
    options = {
        "seconds none": "--seconds 0",
        "too many seconds": "--seconds 600.5",
        "seconds no number": "--seconds x",
        "forwarders none": "--forwarders 0",
        "too many forwarders": "--forwarders 65",
        "planners none": "--planners 0",
        "too many planners": "--planners 10",
        "rate none": "--rate 0",
        "rate too high": "--rate 2000.5",
        "customers none": "--customers 0",
        "too many customers": "--customers 1001",
        "seed no number": "--seed x",
        "kills no number": "--kills x",
        "an argument": "x",
    }
    node: Files = {"file": ""}
    commands = {name: Command(f"lab town {text}") for name, text in options.items()}
    return commands | {"logs is a file": Command("lab town --logs FOLDER/file", node)}
