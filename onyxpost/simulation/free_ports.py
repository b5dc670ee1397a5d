"""Free ports on loopback for processes that the simulation starts."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

LOOPBACK = "127.0.0.1"
ANY_PORT = (LOOPBACK, 0)
# Below the ports that the system gives to clients, which might take the port of a node that is down.
RESTARTABLE_PORTS = (10_000, 30_000)
ATTEMPTS_PER_PORT = 100


class NoFreePortsError(Exception):
    """Fewer ports are free than the run needs."""


def find_free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Returns ports that nobody listens at, as the system chooses them.

    All are held until the last one is found, so that they differ.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for sock in sockets:
            sock.bind(ANY_PORT)
        return [sock.getsockname()[1] for sock in sockets]


def find_restartable_ports(count: int, rng: Random) -> list[int]:
    """Returns ports that are free for TCP and UDP, and stay free while the process that uses one is down.

    Raises:
        NoFreePortsError: not enough of them are free.
    """
    found: list[int] = []
    for _ in range(ATTEMPTS_PER_PORT * count):
        port = rng.randrange(*RESTARTABLE_PORTS)
        if port not in found and _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    first, last = RESTARTABLE_PORTS
    raise NoFreePortsError(f"no {count} free ports from {first} to {last} on {LOOPBACK}")


def _is_free(port: int) -> bool:
    with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
        try:
            stream.bind((LOOPBACK, port))
            datagram.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
