"""Reads the routing rules of a running node again. Imported only by nodes whose file names rules."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from onyxpost.errors import InvalidInputError
from onyxpost.rollout.routing_rules.context import RoutingContext
from onyxpost.rollout.routing_rules.file import read_newer_rules
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.node.node_config import NodeConfig
    from onyxpost.rollout.routing_rules.compiled import CompiledRules


def reload_rules(
    new: NodeConfig, running: NodeConfig, in_force: CompiledRules | None, log: Callable[[LogEvent], None]
) -> CompiledRules | None:
    """Returns the rules that take effect now, or None; logs them, or the reason why the file is rejected.

    Args:
        new: the node's file as it was just read; it names the rules file.
        running: the configuration that the node runs with, whose deployment and zone stay in force.
        in_force: the current rules.
        log: receives the events `routing rules applied` and `routing rules rejected`.
    """
    endpoints = [*new.known_endpoints.endpoints, *running.known_endpoints.endpoints]
    zones = (endpoint.zone for endpoint in endpoints)
    context = RoutingContext.of_deployment(running.deployment, zones, running.zone)
    version_in_force = None if in_force is None else in_force.version
    try:
        rules = read_newer_rules(str(new.routing_rules_path), context, in_force)
    except InvalidInputError as error:
        fields = {"kind": type(error).__name__, "version in force": version_in_force, **error.fields()}
        log(LogEvent("routing rules rejected", fields, logging.WARNING))
        return None
    if rules is not None:
        fields = {**rules.log_fields(), "previous version": version_in_force}
        log(LogEvent("routing rules applied", fields))
    return rules
