"""Creates the environment that a scenario names; the module of the other one is not imported."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.multiprocess.scenario import Scenario
    from onyxpost.simulation.multiprocess.scenario_environment import Environment

EDGE = "edge"
LEADERSHIP = "leadership"
OLD_NAMES = {"duties": LEADERSHIP}  # names in scenario files of earlier builds


def environment_name(scenario: Scenario) -> str:
    """Returns the current name of a scenario's environment; an unknown name is returned unchanged."""
    return OLD_NAMES.get(scenario.environment, scenario.environment)


def create_environment(context: RunContext) -> Environment:
    """Returns the environment of a run.

    Raises:
        InvalidScenarioError: the scenario names an unknown environment.
    """
    name = environment_name(context.scenario)
    if name == EDGE:
        from onyxpost.simulation.multiprocess.edge_environment import EdgeEnvironment

        return EdgeEnvironment(context)
    if name == LEADERSHIP:
        from onyxpost.simulation.multiprocess.leadership_environment import LeadershipEnvironment

        return LeadershipEnvironment(context)
    reason = f"unknown environment {name!r}; known are {EDGE}, {LEADERSHIP} - at `$.stage`"
    raise InvalidScenarioError(reason, context.scenario.name)
