"""Free ports on loopback for processes that the simulation starts."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

LOOPBACK = "127.0.0.1"
ANY_PORT = (LOOPBACK, 0)
# Range of ports below the system's ephemeral ports. A client's connection may be assigned an ephemeral port
# while the node that listens there is down, and the node could not bind it again.
RESTARTABLE_PORTS = (10_000, 30_000)
ATTEMPTS_PER_PORT = 100


class NoFreePortsError(Exception):
    """Fewer ports are free than the run needs."""


def find_free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Returns different free ports, which the system chooses.

    Each port stays bound until the last one is found, so that no port is returned twice.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for sock in sockets:
            sock.bind(ANY_PORT)
        return [sock.getsockname()[1] for sock in sockets]


def find_restartable_ports(count: int, rng: Random) -> list[int]:
    """Returns ports that are free for TCP and UDP, and stay free while the process that uses them restarts.

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
    raise NoFreePortsError(f"fewer than {count} free ports from {first} to {last} on {LOOPBACK}")


def _is_free(port: int) -> bool:
    with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
        try:
            stream.bind((LOOPBACK, port))
            datagram.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
