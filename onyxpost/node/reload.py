"""Compares the configuration of a running node with that of its reloaded file."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.node.node_config import NodeConfig

RESTART_FIELDS = ("name", "listen", "peer_listen", "peers", "deployment", "zone", "memory_mb")
"""Fields of `NodeConfig` whose changes require a restart; the log lists them by these names.

The names are those of the file's keys, except `deployment`, whose keys are `settings` and `planners.share`;
`memory_mb` is in `limits`.
"""


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """The result of a reload.

    Attributes:
        config: the configuration that the node uses from now on.
        restart_keys: the names, as logged, of the changed values that take effect at the next restart.
    """

    config: NodeConfig
    restart_keys: tuple[str, ...]


def compare_configs(running: NodeConfig, new: NodeConfig, *, has_routing_rules: bool) -> ConfigChange:
    """Returns which changes in `new` take effect at once, and which require a restart.

    Planners, cluster members, acceptors and routing rules are versioned; the components that use them compare
    their versions. Changes of `log_level`, `seed` and `known` are in neither group: they are neither applied
    nor listed, except that a reload of the rules accepts the zones in `known`.

    Args:
        running: the configuration in force.
        new: the configuration in the file.
        has_routing_rules: routing rules are in force; removing them from the file requires a restart.
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
