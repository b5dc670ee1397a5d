"""Ports on loopback that no other run on this machine uses at the same time. I/O.

A port that is free when it is chosen can be chosen by another run before a process listens there, and again
while that process is down. A reserved port is held by a name that the kernel gives to one socket at a time
and takes back when the process ends, however it ends: an address of the abstract Unix namespace (Linux).
"""

from __future__ import annotations

import socket
from contextlib import ExitStack
from typing import TYPE_CHECKING

from onyxpost.simulation.free_ports import NoFreePortsError, find_restartable_ports

if TYPE_CHECKING:
    from random import Random

NAME_PREFIX = "\0onyxpost-simulation-port-"
ATTEMPTS_PER_PORT = 100


class PortReservation:
    """Ports that are reserved until `release`.

    Attributes:
        ports: the reserved ports.
    """

    def __init__(self, count: int, rng: Random) -> None:
        """Reserves `count` ports that are free for TCP and UDP.

        Raises:
            NoFreePortsError: not enough of them are free.
        """
        self.ports: list[int] = []
        self._names = ExitStack()
        for _ in range(ATTEMPTS_PER_PORT * count):
            if len(self.ports) == count:
                return
            self._try_to_reserve(*find_restartable_ports(1, rng))
        if len(self.ports) < count:
            self.release()
            raise NoFreePortsError(f"no {count} ports that no other run has reserved")

    def release(self) -> None:
        """Gives the ports back to other runs; to be called once no process uses them any more."""
        self._names.close()

    def _try_to_reserve(self, port: int) -> None:
        name = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            name.bind(f"{NAME_PREFIX}{port}")
        except OSError:  # reserved by another run, or by this one
            name.close()
            return
        self._names.enter_context(name)
        self.ports.append(port)
