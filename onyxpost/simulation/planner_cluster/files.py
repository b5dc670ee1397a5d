"""Contents of the configuration files of a cluster's forwarders and planners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.simulation.planner_cluster.options import (
    CLIENT_TIMEOUT_US,
    HARD_LIMIT_FACTOR,
    LATENCY_OBJECTIVE_US,
)

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.simulation.planner_cluster.options import ClusterOptions

PLAN = "p"
FRONTEND = "look"
SAFE_SHARE = 0.2  # share of the quotas that forwarders may use without a lease


class ClusterPorts(NamedTuple):
    """Ports on 127.0.0.1 of all processes, each list in the order of the processes' index."""

    forwarders: list[int]
    forwarder_peers: list[int]  # for gossip datagrams
    planners: list[int]


def forwarder_name(index: int) -> str:
    """Returns the name of a forwarder's process, which its file and log have too."""
    return f"f{index}"


def planner_name(index: int) -> str:
    """Returns the name of a planner's process, which its file and log have too."""
    return f"p{index}"


def planner_file(options: ClusterOptions, ports: ClusterPorts, index: int) -> dict[str, Any]:
    """Returns the content of a planner's configuration file."""
    return {
        "name": planner_name(index),
        "listen": _loopback(ports.planners[index]),
        "forwarders": [forwarder_name(forwarder) for forwarder in range(options.forwarders)],
        "planners": _planners_section(ports),
        "packages": [_plan(options)],
    }


def node_file(
    options: ClusterOptions,
    ports: ClusterPorts,
    index: int,
    discovery: Address,
    known_endpoints: dict[str, Any],
) -> dict[str, Any]:
    """Returns the content of a forwarder's configuration file.

    Args:
        options: options of the run.
        ports: ports of all processes.
        index: index of the forwarder.
        discovery: address of the discovery agent.
        known_endpoints: endpoints that the forwarder knows at its start.
    """
    fields = {
        "name": forwarder_name(index),
        "listen": _loopback(ports.forwarders[index]),
        "seed": f"{options.seed:x}{index:03x}",
        "discovery": "{}:{}".format(*discovery),
        "limits": {"sockets": 1024},
        "peer_listen": _loopback(ports.forwarder_peers[index]),
        "settings": _node_settings(options, index),
        "peers": [_loopback(port) for port in ports.forwarder_peers],
        "known": known_endpoints,
    }
    if not options.use_gossip:
        fields["planners"] = _planners_section(ports)
    return fields


def _loopback(port: int) -> str:
    return f"127.0.0.1:{port}"


def _planners_section(ports: ClusterPorts) -> dict[str, Any]:
    members = {planner_name(index): _loopback(port) for index, port in enumerate(ports.planners)}
    return {"version": 1, "members": members, "share": SAFE_SHARE}


def _plan(options: ClusterOptions) -> dict[str, Any]:
    return {
        "name": PLAN,
        "refill": options.quota_rate,
        "depth": options.quota_burst,
        "cap_rate": HARD_LIMIT_FACTOR * options.quota_rate,
        "ceiling_burst": HARD_LIMIT_FACTOR * options.quota_burst,
    }


def _node_settings(options: ClusterOptions, index: int) -> dict[str, Any]:
    return {
        "ordinal": index,
        "n_instances": options.forwarders,
        "quantum_us": 2000,
        "discovery": "pushed",
        "bounds": {
            "try_limit": 3,
            "parallel_tries": True,
            "cancelling": True,
            "peers": options.use_gossip,
            "retry_after": True,
            "max_retry_after_us": 500_000,
            "keepalive_us": 15_000_000,
            "connect_timeout_us": 250_000,
        },
        "family_info": {"mail_per_s": 40.0, "most_units": 4},
        "grades": [
            {
                "name": FRONTEND,
                "aim_us": LATENCY_OBJECTIVE_US,
                "deadline_us": CLIENT_TIMEOUT_US,
                "effect": "retryable",
            }
        ],
        "packages": [_plan(options)],
        "rules": {"drain_grace_us": 250_000},
    }
