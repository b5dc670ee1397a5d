"""Commands with wrong options, names and files, and some that succeed. No use of the program."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from tests.compatibility import inputs

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
PROCESSES_SCENARIO = """about = "short"
stage = "edge"
nodes = 3
seconds = 2.0
[faults]
cut = { per_minute = 60.0 }
"""
STUB_FAULTS = '[[faults]]\nat_s = 1.0\nkind = "hang"\n'

Files = inputs.Files


@dataclass(frozen=True)
class Command:
    """A command in which FOLDER stands for the place of its files, HELD_PORT for a port in use."""

    arguments: str | list[str]
    files: Files = field(default_factory=dict)
    environment: dict[str, str] = field(default_factory=dict)
    own_process: bool = False

    def case(self) -> dict[str, Any]:
        """The form in which it is recorded."""
        arguments = self.arguments.split() if isinstance(self.arguments, str) else self.arguments
        return {
            "command": arguments,
            "files": self.files,
            "environment": self.environment,
            "own process": self.own_process,
        }


def commands() -> dict[str, Command]:
    """All commands, by the subcommand and the case."""
    groups = {
        "main": main_commands(),
        "serve": serve_commands(),
        "plan": plan_commands(),
        "check": check_commands(),
        "lab": lab_commands(),
        "lab run": emulator_commands(),
        "lab compare": compare_commands(),
        "lab seeds": seeds_commands(),
        "lab rig": process_commands(),
        "lab load": load_commands(),
        "lab stand": stand_commands(),
        "lab town": planner_cluster_commands(),
    }
    return {f"{group}: {name}": one for group, cases in groups.items() for name, one in cases.items()}


def main_commands() -> dict[str, Command]:
    """Of the command line as a whole."""
    return {
        "no command": Command([]),
        "unknown command": Command("unknown"),
        "unknown command, own process": Command("unknown", own_process=True),
        "unknown option": Command("--unknown"),
        "version option": Command("--version"),
        "version": Command("version"),
        "version, own process": Command("version", own_process=True),
        "version with an argument": Command("version x"),
        "version with an option": Command("version --long"),
        "help": Command("--help"),
        "short help": Command("-h"),
        **{f"help of {name}": Command(f"{name} --help") for name in ("serve", "plan", "check", "version")},
    }


def serve_commands() -> dict[str, Command]:
    """Of a node; its file and variables are read before anything listens."""
    named = {"EDGE_CONFIG": "FOLDER/config.json"}
    good = inputs.changed("node", lambda f: f)
    held = inputs.changed("node", hold_node_port)
    without_peers_file = inputs.changed("node", without_peers)
    no_listen = inputs.changed("node", lambda f: f.pop("listen"))
    no_json: Files = {"config.json": '{"name": '}
    return {
        "no file named": Command("serve"),
        "no file named, own process": Command("serve", own_process=True),
        "an empty name of a file": Command("serve", environment={"EDGE_CONFIG": ""}),
        "no file": Command("serve", environment=named),
        "no file, own process": Command("serve", environment=named, own_process=True),
        "a folder": Command("serve", environment={"EDGE_CONFIG": "FOLDER"}),
        "no JSON": Command("serve", no_json, named),
        "no JSON, own process": Command("serve", no_json, named, own_process=True),
        "no listen address": Command("serve", no_listen, named),
        "listen variable without a port": Command("serve", good, {**named, "EDGE_LISTEN": "localhost"}),
        "discovery variable without a port": Command("serve", good, {**named, "EDGE_DISCOVERY": "x"}),
        "name variable empty": Command("serve", held, {**named, "EDGE_NAME": ""}, own_process=True),
        "port in use": Command("serve", held, named, own_process=True),
        "port of a variable in use": Command(
            "serve", without_peers_file, {**named, "EDGE_LISTEN": "127.0.0.1:HELD_PORT"}, own_process=True
        ),
        "a planner's file": Command("serve", inputs.changed("planner", lambda f: f), named),
        "an argument": Command("serve x"),
        "an option": Command("serve --port 1"),
    }


def plan_commands() -> dict[str, Command]:
    """Of a planner."""
    planner = "plan FOLDER/config.json"
    held = inputs.changed("planner", hold_planner_port)
    return {
        "no argument": Command("plan"),
        "no argument, own process": Command("plan", own_process=True),
        "no file": Command(planner),
        "no file, own process": Command(planner, own_process=True),
        "no JSON": Command(planner, {"config.json": "{"}),
        "a node's file": Command(planner, inputs.changed("node", lambda f: f)),
        "out of its planners": Command(planner, inputs.changed("planner", lambda f: f.update(name="p9"))),
        "short lease": Command(planner, inputs.changed("planner", lambda f: f.update(lease_ms=1))),
        "port in use": Command(planner, held, own_process=True),
        "two arguments": Command("plan a b"),
        "an option": Command("plan --listen x"),
    }


def without_peers(fields: dict[str, Any]) -> None:
    """Takes the peers' fixed port out of a node's file: another process may hold it."""
    del fields["peer_listen"], fields["peers"]


def hold_node_port(fields: dict[str, Any]) -> None:
    """Puts a port that is in use into a node's file."""
    without_peers(fields)
    fields["listen"] = "127.0.0.1:HELD_PORT"


def hold_planner_port(fields: dict[str, Any]) -> None:
    """Puts a port that is in use into a planner's file."""
    fields["listen"] = "127.0.0.1:HELD_PORT"
    fields["planners"]["members"]["p0"] = "127.0.0.1:HELD_PORT"


def check_commands() -> dict[str, Command]:
    """Of `check`, beside the files that `refused-files.json` has."""
    found = {
        f"shipped {name}": Command(
            "check FOLDER/config.json",
            {**inputs.changed(name, lambda f: f), "example-rules.toml": example_rules()},
        )
        for name in inputs.EXAMPLES
    }
    good = inputs.changed("node", lambda f: f)
    return found | {
        "no file named": Command("check"),
        "file named by a variable": Command("check", good, {"EDGE_CONFIG": "FOLDER/config.json"}),
        "no file that the variable names": Command("check", environment={"EDGE_CONFIG": "FOLDER/none.json"}),
        "bad listen variable": Command(
            "check", good, {"EDGE_CONFIG": "FOLDER/config.json", "EDGE_LISTEN": "localhost"}
        ),
        "file named by argument, bad variable": Command(
            "check FOLDER/config.json", good, {"EDGE_LISTEN": "localhost"}
        ),
        "a folder": Command("check FOLDER"),
        "planner's file with an unknown key": Command(
            "check FOLDER/config.json", inputs.changed("planner", lambda f: f.update(unknown=1))
        ),
        "two arguments": Command("check a b"),
        "an option": Command("check --strict"),
        "JSON that is no object": Command("check FOLDER/config.json", {"config.json": "[]"}),
        "text with half a surrogate pair": Command(
            "check FOLDER/config.json", {"config.json": '{"name": "\\ud800"}'}
        ),
    }


def example_rules() -> str:
    """The rules' file that is shipped."""
    return (inputs.DEPLOY / "example-rules.toml").read_text(encoding="utf-8")


def lab_commands() -> dict[str, Command]:
    """Of the simulations' command as a whole."""
    names = ("scenarios", "run", "compare", "seeds", "load", "stand", "town", "rig")
    found = {f"help of {name}": Command(f"lab {name} --help") for name in names}
    found |= {f"{name}, unknown option": Command(f"lab {name} --unknown") for name in names}
    return found | {
        "no command": Command("lab"),
        "unknown command": Command("lab unknown"),
        "unknown option": Command("lab --unknown"),
        "help": Command("lab --help"),
        "scenarios": Command("lab scenarios"),
        "scenarios, own process": Command("lab scenarios", own_process=True),
        "scenarios with an argument": Command("lab scenarios x"),
        "unknown command, own process": Command("lab unknown", own_process=True),
    }


def emulator_commands() -> dict[str, Command]:
    """Of the emulator. One process: it is not what is tried here."""
    short = {"short.toml": SHORT_SCENARIO}

    def played(options: str) -> Command:
        return Command(f"lab run FOLDER/short.toml --jobs 1 {options}", short)

    def altered(before: str, after: str) -> Command:
        assert before in SHORT_SCENARIO
        files = {"short.toml": SHORT_SCENARIO.replace(before, after)}
        return Command("lab run FOLDER/short.toml --jobs 1", files)

    options = {
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
    good = {
        "plays": "",
        "plays two seeds": "--seeds 1,3",
        "plays an earlier name of a constant": "--with Theta.PERIOD=250",
        "plays and writes": "--out FOLDER/out.jsonl",
    }
    files = {
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
    found = {name: played(text) for name, text in {**options, **good}.items()}
    found |= {name: altered(*change) for name, change in files.items()}
    return found | {
        "no scenario": Command("lab run"),
        "unknown scenario": Command("lab run unknown"),
        "no file": Command("lab run FOLDER/none.toml"),
        "one of two unknown": Command("lab run FOLDER/short.toml unknown", short),
        "a folder": Command("lab run FOLDER"),
        "no file, own process": Command("lab run FOLDER/none.toml", own_process=True),
    }


ZONE_LOST = 'kind = "zone-lost"\nat_s = 1\nfor_s = 1\nzone = 2'
TWICE = '[[plans]]\nname = "plain"\ncustomers = 8\nweight = 1\nspread = [2, 4]\n[[events]]'


def compare_commands() -> dict[str, Command]:
    """Of the comparison, beside the files that `refused-files.json` has."""
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
    """Of the deterministic simulation."""
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


def process_commands() -> dict[str, Command]:
    """Of the simulation with real processes, none of which comes to start one."""
    scenario = {"own.toml": PROCESSES_SCENARIO}

    def altered(before: str, after: str) -> Command:
        assert before in PROCESSES_SCENARIO
        return Command("lab rig FOLDER/own.toml", {"own.toml": PROCESSES_SCENARIO.replace(before, after)})

    def replayed(options: str = "", **changes: Any) -> Command:
        script = {"scenario": "edge-cuts", "seed": 7, "nodes": 3, "seconds": 4.0, "faults": [], "version": 1}
        files = {"script.json": json.dumps({**script, **changes})}
        return Command(f"lab rig --replay FOLDER/script.json {options}", files)

    fault = {"at": 1.0, "kind": "cut", "whom": "n0>n1", "lasts": 1.0}
    options = {
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
    scenarios = {
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
    found = {name: Command(f"lab rig {text}") for name, text in options.items()}
    found |= {name: altered(*change) for name, change in scenarios.items()}
    return found | {
        "kept is a file": Command("lab rig edge-cuts --kept FOLDER/own.toml", scenario),
        "unknown scenario, own process": Command("lab rig unknown", own_process=True),
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
    """Of the load, none of which comes to be sent."""
    node = inputs.changed("node", lambda f: f)

    def sent(options: str = "", address: str = "127.0.0.1:HELD_PORT") -> Command:
        return Command(f"lab load {address} --node FOLDER/config.json {options}", node)

    return {
        "no argument": Command("lab load"),
        "no node's file": Command("lab load 127.0.0.1:1"),
        "address elsewhere": sent(address="192.0.2.1:80"),
        "address by name": sent(address="localhost:80"),
        "address without a port": sent(address="127.0.0.1"),
        "address with a bad port": sent(address="127.0.0.1:x"),
        "rate none": sent("--rate 0"),
        "rate negative": sent("--rate=-1"),
        "rate no number": sent("--rate x"),
        "too many requests": sent("--rate 200000 --seconds 10"),
        "seconds none": sent("--seconds 0"),
        "too many seconds": sent("--seconds 3600.5"),
        "customers none": sent("--customers 0"),
        "connections none": sent("--connections 0"),
        "too many connections": sent("--connections 20001"),
        "seed no number": sent("--seed x"),
        "out is a folder": sent("--out FOLDER"),
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
    """Of the stub upstreams; nothing of them stays."""
    node = inputs.changed("node", lambda f: f)

    def stood(options: str = "", faults: str = STUB_FAULTS, discovery: str = "127.0.0.1:0") -> Command:
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
        "servers none": stood("--servers 0"),
        "too many servers": stood("--servers 201"),
        "delay no number": stood("--delay x"),
        "port too large": stood("--port 65001"),
        "seconds too few": stood("--seconds 0.05"),
        "seconds too many": stood("--seconds 3600.5"),
        "discovery elsewhere": stood(discovery="192.0.2.1:80"),
        "discovery without a port": stood(discovery="127.0.0.1"),
        "faults file is missing": Command(f"lab stand FOLDER/out.json --faults FOLDER/none.toml {short}"),
        "faults are no TOML": stood(faults="[[faults"),
        "unknown fault": stood(faults=STUB_FAULTS.replace("hang", "unknown")),
        "fault with an unknown key": stood(faults=STUB_FAULTS + "unknown = 1\n"),
        "fault of an unknown server": stood(faults=STUB_FAULTS + "server = 3\n"),
        "fault before the start": stood(faults=STUB_FAULTS.replace("1.0", "-1.0")),
        "fault without duration": stood(faults=STUB_FAULTS + "for_s = 0.0\n"),
        "stands": stood(),
    }


def planner_cluster_commands() -> dict[str, Command]:
    """Of the planner cluster, none of which comes to start a process."""
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
    found = {name: Command(f"lab town {text}") for name, text in options.items()}
    return found | {"logs is a file": Command("lab town --logs FOLDER/file", node)}
