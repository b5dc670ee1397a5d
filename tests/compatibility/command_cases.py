"""Commands with invalid options, names and files, and commands that succeed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.compatibility.process_command_cases import (
    load_commands,
    planner_cluster_commands,
    process_commands,
    stand_commands,
)
from tests.compatibility.serving_command_cases import (
    check_commands,
    main_commands,
    plan_commands,
    serve_commands,
)
from tests.compatibility.simulation_command_cases import (
    compare_commands,
    emulator_commands,
    lab_commands,
    seeds_commands,
)

if TYPE_CHECKING:
    from tests.compatibility.command_case import Command


def commands() -> dict[str, Command]:
    """Returns all commands by `subcommand: case`."""
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
