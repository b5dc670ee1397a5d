"""The environments by name; each is imported only where it is used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.multiprocess.scenario import Scenario
    from onyxpost.simulation.multiprocess.scenario_environment import Environment

EDGE = "edge"
LEADERSHIP = "leadership"
OLD_NAMES = {"duties": LEADERSHIP}  # in scenario files of earlier builds


def environment_name(scenario: Scenario) -> str:
    """Returns the present name of a scenario's environment."""
    return OLD_NAMES.get(scenario.environment, scenario.environment)


def create_environment(context: RunContext) -> Environment:
    """Returns the environment of a run.

    Raises:
        InvalidScenarioError: the scenario names none that there is.
    """
    name = environment_name(context.scenario)
    if name == EDGE:
        from onyxpost.simulation.multiprocess.edge_environment import EdgeEnvironment

        return EdgeEnvironment(context)
    if name == LEADERSHIP:
        from onyxpost.simulation.multiprocess.leadership_environment import LeadershipEnvironment

        return LeadershipEnvironment(context)
    what = f"no environment {name!r}; there are {EDGE}, {LEADERSHIP} - at `$.stage`"
    raise InvalidScenarioError(what, context.scenario.name)
