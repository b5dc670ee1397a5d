"""Errors of the multi-process simulation that an operator sees."""

from __future__ import annotations

from onyxpost.simulation.errors import InvalidSimulationInputError


class InvalidScenarioError(InvalidSimulationInputError):
    """A scenario, a fault script or an option is invalid."""

    remedy = (
        "name a shipped scenario or a TOML file as docs/multiprocess-simulation.md describes it;"
        " 1 to 64 nodes, up to 600 s"
    )


class ProcessNotReadyError(InvalidSimulationInputError):
    """A node's process did not listen in time, or exited before it listened."""

    remedy = "read the process's log, which --kept DIR keeps; on a busy machine, run with fewer --nodes"
