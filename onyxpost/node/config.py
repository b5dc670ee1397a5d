"""Reads the config file of a node and builds the node's configuration from it."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import TYPE_CHECKING

from onyxpost.config.address import Address, parse_address_at
from onyxpost.config.decoding import JsonObject, decode_as, read_json_file
from onyxpost.config.deployment import build_deployment
from onyxpost.edge.messages import build_endpoint_update
from onyxpost.errors import (
    ConflictingValuesError,
    InvalidInputError,
    InvalidValueError,
    NoConfigFileError,
    with_key_path,
)
from onyxpost.node.config_file import NodeFile
from onyxpost.node.node_config import NodeConfig, PlannerClientConfig

if TYPE_CHECKING:
    from collections.abc import Mapping

    from onyxpost.cluster.membership import ClusterConfig
    from onyxpost.config.planner_settings import PlannerSettings
    from onyxpost.leadership.config import LeadershipConfig

CONFIG_PATH_VARIABLE = "EDGE_CONFIG"
ENVIRONMENT_OVERRIDES = {"EDGE_NAME": "name", "EDGE_LISTEN": "listen", "EDGE_DISCOVERY": "discovery"}
"""Environment variables that override keys of the file, and those keys."""

MAX_QUOTED_CHARS = 80  # an error quotes at most this many characters of an invalid value


def read_config(environ: Mapping[str, str], *, is_reload: bool = False) -> NodeConfig:
    """Reads the file that `EDGE_CONFIG` names; other environment variables override some of its keys.

    Args:
        environ: the environment variables of the process.
        is_reload: the file is newer than the environment, so keys of the file take precedence.

    Raises:
        InvalidInputError: `EDGE_CONFIG` is not set, or the file cannot be read or is invalid.
    """
    path = environ.get(CONFIG_PATH_VARIABLE)
    if not path:
        raise NoConfigFileError("EDGE_CONFIG is not set")
    fields = read_json_file(path)
    discovery_in_file = fields.get("discovery")
    for variable, key in ENVIRONMENT_OVERRIDES.items():
        if environ.get(variable) and not (is_reload and key in fields):
            fields[key] = environ[variable]
    if discovery_in_file is not None and discovery_in_file != fields.get("discovery"):
        # Discovery may have moved while this node was down. Only one of the two addresses answers then, so
        # both are kept.
        fields["discovery_too"] = discovery_in_file
    return decode_config(fields, path, is_reload=is_reload)


def decode_config(fields: JsonObject, source: str = "node", *, is_reload: bool = False) -> NodeConfig:
    """Decodes the fields of a node's file, and reads the rules file that it names.

    Args:
        fields: the file's JSON object.
        source: the file's path, for errors; the path of the rules file is relative to its folder.
        is_reload: skips the rules file, so that invalid rules do not reject the rest of the configuration.

    Raises:
        InvalidInputError: the file or the rules file is invalid.
    """
    file = decode_as(fields, NodeFile, source)
    try:
        config = _build_config(file)
    except InvalidInputError as error:
        raise error.with_location(source) from error
    if file.rules is None:
        return config
    # pathlib would normalize the path, but errors have to quote the path as the operator wrote it.
    path = os.path.join(os.path.dirname(source), file.rules)  # noqa: PTH118, PTH120
    config = replace(config, routing_rules_path=path)
    return config if is_reload else _with_routing_rules(config)


def _with_routing_rules(config: NodeConfig) -> NodeConfig:
    # Imported here because only nodes whose file names a rules file need it.
    from onyxpost.rollout.routing_rules.routing_context import RoutingContext
    from onyxpost.rollout.routing_rules.rules_file import read_rules

    zones = (endpoint.zone for endpoint in config.known_endpoints.endpoints)
    context = RoutingContext.of_deployment(config.deployment, zones, config.zone)
    return replace(config, routing_rules=read_rules(str(config.routing_rules_path), context))


def _build_config(file: NodeFile) -> NodeConfig:
    seed = _parse_seed(file.seed)
    deployment = build_deployment(file.settings)
    planners = None
    if file.planners is not None:
        planners = _build_planner_config(file.planners)
        limits = replace(deployment.limits, safe_share=planners.safe_share)
        deployment = replace(deployment, limits=limits)
    cluster = _build_cluster(file)
    return NodeConfig(
        name=file.name,
        seed=seed,
        deployment=deployment,
        planners=planners,
        cluster=cluster,
        leadership=_build_leadership(file, cluster),
        listen=parse_address_at("listen", file.listen),
        discovery=parse_address_at("discovery", file.discovery),
        alternative_discovery=_parse_optional_address("discovery", file.discovery_too),
        max_descriptors=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        peer_listen=_parse_optional_address("peer_listen", file.peer_listen),
        peers=[parse_address_at(f"peers[{index}]", peer) for index, peer in enumerate(file.peers)],
        known_endpoints=build_endpoint_update(file.known, "$.known")._replace(is_complete=True),
        log_level=file.log_level,
        zone=file.zone,
    )


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidValueError(
            with_key_path(f"expected a hexadecimal number, got {text[:MAX_QUOTED_CHARS]!r}", "seed")
        ) from None


def _build_planner_config(settings: PlannerSettings) -> PlannerClientConfig:
    members = {
        name: parse_address_at(f"planners.members.{name}", text) for name, text in settings.members.items()
    }
    return PlannerClientConfig(settings.version, members, settings.safe_share)


def _build_cluster(file: NodeFile) -> ClusterConfig | None:
    if file.cluster is None:
        return None
    from onyxpost.cluster.membership import build_cluster_config  # only members of a cluster need it

    cluster = build_cluster_config(file.cluster, file.name)
    if file.cluster.listen in (file.listen, file.peer_listen):
        raise ConflictingValuesError(
            with_key_path(
                f"{file.cluster.listen} is also the address in listen ({file.listen}) or peer_listen"
                f" ({file.peer_listen})",
                "fleet.listen",
            )
        )
    return cluster


def _build_leadership(file: NodeFile, cluster: ClusterConfig | None) -> LeadershipConfig | None:
    if file.leadership is None:
        return None
    if cluster is None:
        raise ConflictingValuesError(
            with_key_path("the section duties requires the missing section fleet", "fleet")
        )
    # Imported here because only nodes that take part in elections need it.
    from onyxpost.leadership.config import decode_leadership_config

    return decode_leadership_config(file.leadership, tuple(sorted(cluster.membership.members)))


def _parse_optional_address(key: str, text: str | None) -> Address | None:
    return parse_address_at(key, text) if text else None
