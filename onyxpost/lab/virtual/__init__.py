"""An asyncio event loop whose time jumps to what is due next, and a network in memory that can fail.

The edge node's own code runs on it unchanged: `onyxpost.edge.net.Net` is all that is put in its place.
"""

from onyxpost.lab.errors import Stuck
from onyxpost.lab.virtual.loop import STUCK, Loop, run
from onyxpost.lab.virtual.network import EPOCH, Hosted, Listening, Network
from onyxpost.lab.virtual.wires import End, Wire

__all__ = ["EPOCH", "STUCK", "End", "Hosted", "Listening", "Loop", "Network", "Stuck", "Wire", "run"]
