"""The stages by name, each loaded only where it is played."""

from __future__ import annotations

from onyxpost.lab.rig.errors import RigUnusable
from onyxpost.lab.rig.stage import Ground, Stage

NAMES = ("edge", "duties")


def made(ground: Ground) -> Stage:
    if ground.scenario.stage == "edge":
        from onyxpost.lab.rig.edge_stage import EdgeStage

        return EdgeStage(ground)
    if ground.scenario.stage == "duties":
        from onyxpost.lab.rig.duty_stage import DutyStage

        return DutyStage(ground)
    why = f"no stage {ground.scenario.stage!r}; there are {', '.join(NAMES)} - at `$.stage`"
    raise RigUnusable(why, ground.scenario.name)
