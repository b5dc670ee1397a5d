"""The invariants and their checker, which all simulations share."""

from onyxpost.simulation.invariants.checker import FINAL_ANSWERS, InvariantChecker
from onyxpost.simulation.invariants.hard_limits import HardLimitBucket
from onyxpost.simulation.invariants.records import AttemptRecord, Invariant, RequestRecord, Violation

__all__ = [
    "FINAL_ANSWERS",
    "AttemptRecord",
    "HardLimitBucket",
    "Invariant",
    "InvariantChecker",
    "RequestRecord",
    "Violation",
]
