"""The stages by name, each loaded only where it is played."""

from __future__ import annotations

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.scenario_environment import Ground, Stage

NAMES = ("edge", "duties")


def made(ground: Ground) -> Stage:
    if ground.scenario.stage == "edge":
        from onyxpost.simulation.multiprocess.edge_environment import EdgeStage

        return EdgeStage(ground)
    if ground.scenario.stage == "duties":
        from onyxpost.simulation.multiprocess.leadership_environment import DutyStage

        return DutyStage(ground)
    why = f"no stage {ground.scenario.stage!r}; there are {', '.join(NAMES)} - at `$.stage`"
    raise InvalidScenarioError(why, ground.scenario.name)
