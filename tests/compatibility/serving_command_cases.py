"""Commands of the main program, of edge nodes, of planners and of `check`."""

from __future__ import annotations

from typing import Any

from tests.compatibility import inputs
from tests.compatibility.command_case import Command, Files


def main_commands() -> dict[str, Command]:
    """Returns commands that concern the command line as a whole."""
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
    """Returns commands of an edge node, which reads its file and variables before it listens on a port."""
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
    """Returns commands of a planner."""
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
    """Removes the peers' fixed port from a node's file, because another process may use this port."""
    del fields["peer_listen"], fields["peers"]


def hold_node_port(fields: dict[str, Any]) -> None:
    """Makes a node's file listen on a port that is in use."""
    without_peers(fields)
    fields["listen"] = "127.0.0.1:HELD_PORT"


def hold_planner_port(fields: dict[str, Any]) -> None:
    """Makes a planner's file listen on a port that is in use."""
    fields["listen"] = "127.0.0.1:HELD_PORT"
    fields["planners"]["members"]["p0"] = "127.0.0.1:HELD_PORT"


def check_commands() -> dict[str, Command]:
    """Returns commands of `check`, except those with the invalid files of `refused-files.json`."""
    commands = {
        f"shipped {name}": Command(
            "check FOLDER/config.json",
            {**inputs.changed(name, lambda f: f), "example-rules.toml": example_rules()},
        )
        for name in inputs.EXAMPLES
    }
    good = inputs.changed("node", lambda f: f)
    return commands | {
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
    """Returns the shipped file of routing rules."""
    return (inputs.DEPLOY / "example-rules.toml").read_text(encoding="utf-8")
