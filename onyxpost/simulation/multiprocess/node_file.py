"""Creates the part of a node's file that is common to all environments."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.simulation.multiprocess.endpoints import format_address

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.stubs import DiscoveryAgent

MAX_SOCKETS = 512
SEEDS_PER_RUN = 1000  # a node's seed is the run's seed times this, plus the node's index


def node_file(
    context: RunContext, index: int, agent: DiscoveryAgent, discovery: str, peers: list[str]
) -> dict[str, Any]:
    """Returns the fields of a node's file without `settings`, which the caller adds.

    Args:
        context: the run's context.
        index: the node's index.
        agent: the discovery stub whose endpoints the node knows from the start.
        discovery: the address at which the node reaches discovery.
        peers: the addresses at which the node reaches the datagram sockets of all nodes, its own included.
    """
    return {
        "name": f"n{index}",
        "listen": format_address(context.addresses[f"n{index}"]),
        "discovery": discovery,
        "seed": f"{context.seed * SEEDS_PER_RUN + index:x}",
        "limits": {"sockets": MAX_SOCKETS},
        "peer_listen": format_address(context.addresses[f"n{index}/udp"]),
        "peers": peers,
        "known": {"generation": agent.generation, "instances": list(agent.endpoints.values())},
    }
