"""The schema of a node's config file: its keys, their types and ranges."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from onyxpost.config.cluster_settings import ClusterSettings
from onyxpost.config.decoding import Settings
from onyxpost.config.planner_settings import PlannerSettings
from onyxpost.config.settings import DeploymentSettings
from onyxpost.edge.memory_account import DEFAULT_MEMORY_MB
from onyxpost.edge.messages import WireEndpointUpdate


class ResourceLimitSettings(Settings):
    """The section `limits` of a node's file."""

    sockets: Annotated[int, Meta(ge=8)] = 1024
    memory_mb: Annotated[float, Meta(gt=0.0)] = DEFAULT_MEMORY_MB


class NodeFile(Settings):
    """The keys of a node's config file. Unknown keys are ignored.

    `seed` is a hexadecimal number. `discovery_too`, the alternative address of discovery, is set by
    `config.read_config`, not by operators. `duties` is decoded by `onyxpost.leadership.config`.
    """

    name: str
    listen: str
    discovery: str
    seed: str
    known: WireEndpointUpdate
    settings: DeploymentSettings
    limits: ResourceLimitSettings = msgspec.field(default_factory=ResourceLimitSettings)
    peer_listen: str | None = None
    peers: list[str] = msgspec.field(default_factory=list)
    discovery_too: str | None = None
    planners: PlannerSettings | None = None
    cluster: ClusterSettings | None = msgspec.field(default=None, name="fleet")
    leadership: dict[str, Any] | None = msgspec.field(default=None, name="duties")  # see leadership.config
    zone: Annotated[str, Meta(min_length=1)] | None = None
    rules: Annotated[str, Meta(min_length=1)] | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
