"""The laboratory's errors: what was given to it cannot be used, or it cannot go on."""

from __future__ import annotations

from onyxpost.errors import OperatorError


class InvalidSimulationInputError(OperatorError):
    """Something given to the laboratory cannot be used: exit 2."""


class SimulationFileError(InvalidSimulationInputError):
    """A file that the system does not give, or is not text."""

    remedy = "see that the path is right and readable, or name a scenario that is shipped"


class InvalidFaultScriptError(InvalidSimulationInputError):
    """A scenario or a file of faults that does not fit its form or itself; `what` ends with its place."""

    remedy = "mend the key at that place; docs/lab.md has the form"


class InvalidResultsError(InvalidSimulationInputError):
    """Not results of this build, or none of a whole run."""

    remedy = "give a file that `onyxpost lab run --out` of this build wrote whole"


class NoCommonScenarioError(InvalidSimulationInputError):
    """Results that cannot be compared."""

    remedy = "play the same scenarios for both, with `onyxpost lab run --out`"


class ResultsNotWrittenError(InvalidSimulationInputError):
    """A file cannot be written."""

    remedy = "name a folder that is there, can be written and has room"


class InvalidOptionError(InvalidSimulationInputError):
    """An option or argument that is not of its form or out of its range."""

    remedy = "give it a value within what the line says; `--help` tells its form"


class NotLoopbackError(InvalidSimulationInputError):
    """An address that is not on this machine: the laboratory sends nothing elsewhere."""

    remedy = "name an address on loopback, as 127.0.0.1:8081"


class ProcessNotStartedError(InvalidSimulationInputError):
    """A process of the laboratory's own does not listen in time."""

    remedy = "read its log there (`--logs` keeps it), and look for other load on this machine"


class SimulationStalledError(OperatorError):
    """Nothing is due any more on the virtual clock, or its time does not get on: exit 1."""

    remedy = "a bug: report it with the seed, found by playing fewer of them (`onyxpost lab seeds --seeds N`)"
