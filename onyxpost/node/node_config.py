"""The configuration of an edge node, as its components use it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.edge.memory_account import DEFAULT_MEMORY_MB

if TYPE_CHECKING:
    from onyxpost.cluster.membership import ClusterConfig
    from onyxpost.config.address import Address
    from onyxpost.config.deployment import Deployment
    from onyxpost.edge.messages import EndpointUpdate
    from onyxpost.leadership.config import LeadershipConfig
    from onyxpost.rollout.routing_rules.compiled_rules import CompiledRules


@dataclass(frozen=True, slots=True)
class PlannerClientConfig:
    """The planners that grant leases to this node.

    Attributes:
        membership_version: the version of the set of planners.
        members: the planners' addresses by name.
        safe_share: the fraction of each quota that the node may admit without a lease.
    """

    membership_version: int
    members: dict[str, Address]
    safe_share: float


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of an edge node; optional values that its file does not contain are None."""

    name: str
    listen: Address
    discovery: Address
    alternative_discovery: Address | None  # the address in the file, if EDGE_DISCOVERY overrides it
    seed: int
    max_descriptors: int
    peer_listen: Address | None
    peers: list[Address]
    known_endpoints: EndpointUpdate
    log_level: str
    deployment: Deployment
    planners: PlannerClientConfig | None = None
    cluster: ClusterConfig | None = None
    leadership: LeadershipConfig | None = None
    zone: str | None = None
    memory_mb: float = DEFAULT_MEMORY_MB
    routing_rules_path: str | None = None
    routing_rules: CompiledRules | None = None  # as read at the start; None in a reloaded configuration
