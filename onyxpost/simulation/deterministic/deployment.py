"""The size of the simulated installation, its addresses, and what its load is judged by."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.config.address import Address

NODE_COUNT = 3
SERVER_COUNT = 4
AGENTS_PER_NODE = 2  # the second is the one that a node moves to on SIGHUP
ZONES = ("a", "b")
MAX_REQUEST_UNITS = 3

# Servers as small as the load: 5 calls a second each, of which 4 are allowed in a second after a start.
CALL_WORK_MS = 20.0
SERVER_CAPACITY = 0.1  # ms of work in one ms

RELOAD_PROPAGATION_MS = 4000.0  # from SIGHUP until what the new agent holds counts as known
TOLERANCE_MS = 60.0  # beside each limit of time: the protocol's 50 and the way of a message


def node_address(index: int) -> Address:
    """Returns where a node listens for clients."""
    return (f"10.0.0.{index}", 8081)


def server_address(index: int) -> Address:
    """Returns where an app server listens."""
    return (f"10.1.0.{index}", 9000)


def agent_address(node_index: int, agent_index: int) -> Address:
    """Returns where one of a node's discovery agents listens."""
    return (f"10.2.{agent_index}.{node_index}", 8500)


def peer_address(index: int) -> Address:
    """Returns where a node receives datagrams of its peers."""
    return (f"10.3.0.{index}", 7946)


def format_address(address: Address) -> str:
    """Returns an address as files have it."""
    host, port = address
    return f"{host}:{port}"
