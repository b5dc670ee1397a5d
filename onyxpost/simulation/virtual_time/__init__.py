"""An asyncio event loop whose time jumps to what is due next, and a network in memory that can fail.

The edge node's own code runs on it unchanged: only `onyxpost.runtime.transport.Transport` is
implemented anew.
"""

from onyxpost.simulation.errors import SimulationStalledError
from onyxpost.simulation.virtual_time.loop import STUCK, Loop, run
from onyxpost.simulation.virtual_time.network import EPOCH, Hosted, Listening, Network
from onyxpost.simulation.virtual_time.wires import End, Wire

__all__ = [
    "EPOCH",
    "STUCK",
    "End",
    "Hosted",
    "Listening",
    "Loop",
    "Network",
    "SimulationStalledError",
    "Wire",
    "run",
]
