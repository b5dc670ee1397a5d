"""Reloads the routing rules of a running node. Imported only by nodes whose file names a rules file."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from onyxpost.errors import InvalidInputError
from onyxpost.rollout.routing_rules.routing_context import RoutingContext
from onyxpost.rollout.routing_rules.rules_file import read_newer_rules
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.node.node_config import NodeConfig
    from onyxpost.rollout.routing_rules.compiled_rules import CompiledRules


def reload_rules(
    new: NodeConfig, running: NodeConfig, in_force: CompiledRules | None, log: Callable[[LogEvent], None]
) -> CompiledRules | None:
    """Reads the rules file again and returns the rules to apply.

    Returns None if the rules in force stay, because the file is unchanged or is rejected.

    Args:
        new: the reloaded configuration, which contains the path of the rules file.
        running: the configuration in force; its deployment and zone do not change in a reload.
        in_force: the rules in force.
        log: receives the events `routing rules applied` and `routing rules rejected`.
    """
    endpoints = [*new.known_endpoints.endpoints, *running.known_endpoints.endpoints]
    zones = (endpoint.zone for endpoint in endpoints)
    context = RoutingContext.of_deployment(running.deployment, zones, running.zone)
    current_version = None if in_force is None else in_force.version
    try:
        rules = read_newer_rules(str(new.routing_rules_path), context, in_force)
    except InvalidInputError as error:
        fields = {"kind": type(error).__name__, "version in force": current_version, **error.log_fields()}
        log(LogEvent("routing rules rejected", fields, logging.WARNING))
        return None
    if rules is not None:
        fields = {**rules.log_fields(), "previous version": current_version}
        log(LogEvent("routing rules applied", fields))
    return rules
