"""Ports on loopback that no other run on this machine uses at the same time. I/O.

Another run could choose the same free port before a process listens there, and again while that process is
down. A port is therefore reserved by binding a socket to a name in the abstract Unix namespace (Linux). The
kernel binds a name to one socket at a time, and frees the name when the process ends, even if it is killed.
"""

from __future__ import annotations

import socket
from contextlib import ExitStack
from typing import TYPE_CHECKING

from onyxpost.simulation.free_ports import NoFreePortsError, find_restartable_ports

if TYPE_CHECKING:
    from random import Random

NAME_PREFIX = "\0onyxpost-simulation-port-"  # a null byte starts names of the abstract namespace
ATTEMPTS_PER_PORT = 100


class PortReservation:
    """Ports that are reserved until `release` is called.

    Attributes:
        ports: the reserved port numbers.
    """

    def __init__(self, count: int, rng: Random) -> None:
        """Reserves `count` ports that are free for TCP and UDP.

        Raises:
            NoFreePortsError: too few ports are both free and unreserved.
        """
        self.ports: list[int] = []
        self._lock_sockets = ExitStack()
        for _ in range(ATTEMPTS_PER_PORT * count):
            if len(self.ports) == count:
                return
            self._try_to_reserve(*find_restartable_ports(1, rng))
        if len(self.ports) < count:
            self.release()
            raise NoFreePortsError(f"fewer than {count} free ports that no other run has reserved")

    def release(self) -> None:
        """Releases all ports to other runs; call only once no process uses the ports any more."""
        self._lock_sockets.close()

    def _try_to_reserve(self, port: int) -> None:
        lock_socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            lock_socket.bind(f"{NAME_PREFIX}{port}")
        except OSError:  # already reserved, by another run or this one
            lock_socket.close()
            return
        self._lock_sockets.enter_context(lock_socket)
        self.ports.append(port)
