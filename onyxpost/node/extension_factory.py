"""Builds the extensions of an edge node: planner client, cluster connections and leadership elections.

A node imports only the packages of the extensions that its file configures.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.edge.messages import EdgeEvent
    from onyxpost.node.extension import Extension
    from onyxpost.node.node_config import NodeConfig, PlannerClientConfig
    from onyxpost.runtime.log_event import LogEvent
    from onyxpost.runtime.transport import Transport


def build_extensions(
    config: NodeConfig,
    transport: Transport,
    post: Callable[[EdgeEvent], None],
    log: Callable[[LogEvent], None],
) -> list[Extension]:
    """Builds the extensions that `config` contains, in the order in which they start."""
    extensions: list[Extension] = []
    if config.planners is not None:
        extensions.append(_build_planner_extension(config.name, config.planners, transport, post, log))
    if config.cluster is not None:
        from onyxpost.node.cluster_extension import ClusterExtension

        cluster = ClusterExtension(transport, config.name, config.cluster, log)
        if config.leadership is not None:
            from onyxpost.leadership.service import LeadershipService

            leadership = LeadershipService(
                transport, config.name, config.leadership, cluster.connections, log
            )
            cluster.add_leadership(leadership)
        extensions.append(cluster)
    return extensions


def _build_planner_extension(
    name: str,
    config: PlannerClientConfig,
    transport: Transport,
    post: Callable[[EdgeEvent], None],
    log: Callable[[LogEvent], None],
) -> Extension:
    from onyxpost.forwarder.planner_client import PlannerClient
    from onyxpost.node.planner_extension import PlannerExtension

    return PlannerExtension(
        PlannerClient(transport, name, config.members, config.membership_version, post, log)
    )
