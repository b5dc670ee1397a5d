"""Errors of the simulation: input that cannot be used, and a simulation that cannot go on."""

from __future__ import annotations

from onyxpost.errors import OperatorError


class InvalidSimulationInputError(OperatorError):
    """Base class of errors of files, options and addresses; a command ends with exit code 2."""


class SimulationFileError(InvalidSimulationInputError):
    """A file cannot be read, or is not text."""

    remedy = "check that the path is right and can be read, or name a shipped scenario"


class InvalidFaultScriptError(InvalidSimulationInputError):
    """A scenario or a file of faults has an invalid key, or keys that contradict each other.

    The message ends with the path of the key.
    """

    remedy = "correct the key at that place; docs/simulation.md describes the format"


class InvalidResultsError(InvalidSimulationInputError):
    """A file does not hold results of this build, or not those of a complete run."""

    remedy = "give a complete file, written by `onyxpost simulate discrete-event --out` of this build"


class NoCommonScenarioError(InvalidSimulationInputError):
    """Two files of results have no scenario in common, so that they cannot be compared."""

    remedy = "run the same scenarios for both, with `onyxpost simulate discrete-event --out`"


class ResultsNotWrittenError(InvalidSimulationInputError):
    """A file cannot be written."""

    remedy = "name a folder that exists, can be written and has free space"


class InvalidOptionError(InvalidSimulationInputError):
    """An option or argument is malformed or out of its range."""

    remedy = "give a value within the limits of this line; `--help` shows its format"


class NotLoopbackError(InvalidSimulationInputError):
    """An address is not on this machine; the simulation sends nothing elsewhere."""

    remedy = "name an address on loopback, as in 127.0.0.1:8081"


class ProcessNotStartedError(InvalidSimulationInputError):
    """A process of the simulation does not listen in time."""

    remedy = "read its log in that folder (`--logs` keeps it), and check for other load on this machine"


class SimulationStalledError(OperatorError):
    """No event is due any more on the virtual clock, or its time does not advance; exit code 1."""

    remedy = (
        "a bug: report it with the seed, found by running fewer (`onyxpost simulate deterministic --seeds N`)"
    )
