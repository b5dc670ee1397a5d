"""An asyncio event loop with a virtual clock, and an in-memory virtual network with injectable faults.

The virtual clock advances to the next scheduled event at once. The code of the edge node runs on both
unchanged; only `onyxpost.runtime.transport.Transport` has another implementation.
"""

from onyxpost.simulation.errors import SimulationStalledError
from onyxpost.simulation.virtual_time.connection import Connection, ConnectionEnd
from onyxpost.simulation.virtual_time.host import START_UNIX_MS, VirtualHost
from onyxpost.simulation.virtual_time.listener import VirtualListener
from onyxpost.simulation.virtual_time.loop import MAX_TURNS_AT_ONE_TIME, VirtualTimeLoop, run
from onyxpost.simulation.virtual_time.network import Network, PlannedBreak

__all__ = [
    "MAX_TURNS_AT_ONE_TIME",
    "START_UNIX_MS",
    "Connection",
    "ConnectionEnd",
    "Network",
    "PlannedBreak",
    "SimulationStalledError",
    "VirtualHost",
    "VirtualListener",
    "VirtualTimeLoop",
    "run",
]
