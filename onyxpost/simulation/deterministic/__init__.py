"""Deterministic simulation: runs a seed's fault script on the virtual clock and shrinks failing scripts."""

from onyxpost.simulation.deterministic.fault_script import Fault, FaultKind, draw_base_faults, draw_script
from onyxpost.simulation.deterministic.seed_run import Outcome, run_seed
from onyxpost.simulation.deterministic.seed_sweep import run_batch, run_seeds, shrink

__all__ = [
    "Fault",
    "FaultKind",
    "Outcome",
    "draw_base_faults",
    "draw_script",
    "run_batch",
    "run_seed",
    "run_seeds",
    "shrink",
]
