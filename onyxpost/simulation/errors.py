"""Errors of the simulation: invalid input, and a simulation that stalled."""

from __future__ import annotations

from onyxpost.errors import OperatorError


class InvalidSimulationInputError(OperatorError):
    """Base class of errors in files, options and addresses; the command exits with code 2."""


class SimulationFileError(InvalidSimulationInputError):
    """A file cannot be read, or is not text."""

    remedy = "check that the path is right and can be read, or name a shipped scenario"


class InvalidFaultScriptError(InvalidSimulationInputError):
    """A scenario or fault script has an invalid key, or keys that contradict each other.

    The message ends with the path of the key.
    """

    remedy = "correct the key at that place; docs/simulation.md describes the format"


class InvalidResultsError(InvalidSimulationInputError):
    """A file does not hold results in the format of this build, or has no complete run."""

    remedy = "give a complete file, written by `onyxpost simulate discrete-event --out` of this build"


class NoCommonScenarioError(InvalidSimulationInputError):
    """Two result files cannot be compared, because they have no scenario in common."""

    remedy = "run the same scenarios for both, with `onyxpost simulate discrete-event --out`"


class ResultsNotWrittenError(InvalidSimulationInputError):
    """A results file or node file cannot be written."""

    remedy = "name a folder that exists, can be written and has free space"


class InvalidOptionError(InvalidSimulationInputError):
    """An option or argument is malformed or out of its range."""

    remedy = "give a value within the limits of this line; `--help` shows its format"


class NotLoopbackError(InvalidSimulationInputError):
    """An address is not on loopback; the simulation uses no other addresses."""

    remedy = "name an address on loopback, as in 127.0.0.1:8081"


class ProcessNotStartedError(InvalidSimulationInputError):
    """A process of the simulation did not start serving in time."""

    remedy = "read the log of the process (`--logs` keeps it), and check for other load on this machine"


class SimulationStalledError(OperatorError):
    """The virtual clock has no more events, or its time does not advance; the command exits with code 1."""

    remedy = (
        "report this bug with its seed; to find the seed, run fewer at once"
        " (`onyxpost simulate deterministic --seeds N`)"
    )
