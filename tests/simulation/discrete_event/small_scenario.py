"""A small scenario, and functions that run it with other sections or faults."""

from __future__ import annotations

from typing import Any

from onyxpost.simulation.discrete_event.scenario_files import parse_scenario
from onyxpost.simulation.discrete_event.world import World

SMALL_SCENARIO = """
name = "small"
about = "Four nodes, four servers and forty customers of one plan."
seconds = 6
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
customers = 40
weight = 1
spread = [1, 1]
"""


def run_scenario(more: str = "", text: str = SMALL_SCENARIO, seed: int = 3) -> World:
    """Runs a scenario with the sections in `more` appended; returns its world at the end of the run."""
    world = World(parse_scenario(text + more, "small"), seed)
    world.run()
    return world


def fault_section(kind: str, **fields: Any) -> str:
    """Returns the section of a scenario file for one fault."""
    return f'[[events]]\nkind = "{kind}"\n' + "".join(f"{key} = {value}\n" for key, value in fields.items())
