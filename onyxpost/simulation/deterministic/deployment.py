"""Size and addresses of the simulated cluster, and the limits that its invariants are checked against."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.config.address import Address

NODE_COUNT = 3
SERVER_COUNT = 4
AGENTS_PER_NODE = 2  # a node switches to its other agent on SIGHUP
ZONES = ("a", "b")
MAX_REQUEST_UNITS = 3

# The capacity is as low as the load: a server completes 5 calls per second, and slow start allows 4 calls in
# the first second.
CALL_WORK_MS = 20.0
SERVER_CAPACITY = 0.1  # ms of work that a server completes in one ms

RELOAD_PROPAGATION_MS = 4000.0  # from SIGHUP until the new agent's endpoint states count as known to the node
TOLERANCE_MS = 60.0  # added to each time limit: 50 ms that the protocol allows, and the delay of a message


def node_address(index: int) -> Address:
    """Returns the address at which a node accepts clients."""
    return (f"10.0.0.{index}", 8081)


def server_address(index: int) -> Address:
    """Returns the address of an app server; its replacements listen at the same one."""
    return (f"10.1.0.{index}", 9000)


def agent_address(node_index: int, agent_index: int) -> Address:
    """Returns the address of one of a node's discovery agents."""
    return (f"10.2.{agent_index}.{node_index}", 8500)


def peer_address(index: int) -> Address:
    """Returns the address at which a node receives datagrams from its peers."""
    return (f"10.3.0.{index}", 7946)


def format_address(address: Address) -> str:
    """Returns an address as `host:port`, the format of configuration files."""
    host, port = address
    return f"{host}:{port}"
