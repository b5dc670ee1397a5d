"""Open-loop load generator for one node on loopback."""

from onyxpost.simulation.load.generator import LoadGenerator, generate_load
from onyxpost.simulation.load.options import LoadOptions, check_options, require_loopback
from onyxpost.simulation.load.results import LoadResults

__all__ = [
    "LoadGenerator",
    "LoadOptions",
    "LoadResults",
    "check_options",
    "generate_load",
    "require_loopback",
]
