"""The part of a node's file that all environments have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.simulation.multiprocess.endpoints import format_address

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.stubs import DiscoveryAgent

SOCKETS_LIMIT = 512
SEEDS_PER_RUN = 1000  # a node's seed is that of the run times this, and its index


def node_file(
    context: RunContext, index: int, agent: DiscoveryAgent, discovery: str, peers: list[str]
) -> dict[str, Any]:
    """Returns the file of a node, without its `settings`.

    Args:
        context: of the run.
        index: of the node.
        agent: the discovery stub whose endpoints the node knows from the start.
        discovery: its address, as the node finds it.
        peers: the datagram addresses of all nodes, as the node finds them.
    """
    return {
        "name": f"n{index}",
        "listen": format_address(context.addresses[f"n{index}"]),
        "discovery": discovery,
        "seed": f"{context.seed * SEEDS_PER_RUN + index:x}",
        "limits": {"sockets": SOCKETS_LIMIT},
        "peer_listen": format_address(context.addresses[f"n{index}/udp"]),
        "peers": peers,
        "known": {"generation": agent.generation, "instances": list(agent.endpoints.values())},
    }
