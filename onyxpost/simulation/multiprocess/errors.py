"""What the rig tells an operator when it cannot play."""

from __future__ import annotations

from onyxpost.simulation.errors import InvalidSimulationInputError


class InvalidScenarioError(InvalidSimulationInputError):
    """A scenario, a kept script or a bound that cannot be played."""

    remedy = "name a shipped scenario or a TOML file as docs/rig.md has it; 1 to 64 nodes, up to 600 s"


class ProcessNotReadyError(InvalidSimulationInputError):
    """A process of the program did not come to listen."""

    remedy = "read the process's log, kept with --kept DIR; fewer --nodes on a busy machine"
