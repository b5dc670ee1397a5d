"""Compares the configuration that a node runs with and the one in its reloaded file."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.node.node_config import NodeConfig

RESTART_FIELDS = ("name", "listen", "peer_listen", "peers", "deployment", "zone")
"""Fields of `NodeConfig` whose changes are logged as taking effect after a restart."""


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """What a reload changes.

    Attributes:
        config: the configuration that the node runs with from now on.
        restart_keys: what has new values that take effect at the next restart, by the names used in the log.
    """

    config: NodeConfig
    restart_keys: tuple[str, ...]


def compare_configs(running: NodeConfig, new: NodeConfig, *, has_routing_rules: bool) -> ConfigChange:
    """Returns what of `new` takes effect at once, and what only after a restart.

    Planners, cluster members, acceptors and routing rules are versioned: their owners compare those.

    Args:
        running: the configuration that the node runs with.
        new: the configuration in the file.
        has_routing_rules: routing rules are in force; removing them from the file takes a restart.
    """
    restart_keys = [field for field in RESTART_FIELDS if getattr(new, field) != getattr(running, field)]
    if _cluster_address(new) != _cluster_address(running):
        restart_keys.append("fleet")
    if has_routing_rules and new.routing_rules_path is None:
        restart_keys.append("rules")
    config = replace(running, discovery=new.discovery, max_descriptors=new.max_descriptors)
    return ConfigChange(config, tuple(restart_keys))


def _cluster_address(config: NodeConfig) -> tuple[str, int] | None:
    return None if config.cluster is None else config.cluster.listen
