"""Settings that the program reads from files of nodes, planners and routing rules, as plain JSON.

The keys of this JSON are independent of the program's names. A rename in the program changes the Python names
in this module, never a key.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.node import config as edge_node
from onyxpost.planner import config as planner_file
from onyxpost.rollout.routing_rules import schema

if TYPE_CHECKING:
    from onyxpost.core import types
    from onyxpost.leadership.config import LeadershipConfig
    from onyxpost.node.node_config import NodeConfig, PlannerClientConfig
    from tests.compatibility.json_types import JsonObject


def read_config(path: Path) -> JsonObject:
    """Returns the settings that the program reads from a node's or a planner's file."""
    if planner_file.is_planner_file(msgspec.json.decode(path.read_bytes())):
        return planner(planner_file.read_config(str(path)))
    return node(edge_node.read_config({"EDGE_CONFIG": str(path)}))


def planner(read: planner_file.PlannerConfig) -> JsonObject:
    """Returns a planner's settings."""
    return {
        "name": read.name,
        "listen": list(read.listen),
        "membership version": read.membership_version,
        "planners": list(read.planners),
        "forwarders": list(read.forwarders),
        "plans": [plan(one) for one in read.plans],
        "lease ms": read.lease_terms.duration_ms,
        "clock drift": read.lease_terms.clock_drift,
        "own share": read.safe_share,
        "log level": read.log_level,
    }


def node(read: NodeConfig) -> JsonObject:
    """Returns an edge node's settings."""
    known = read.known_endpoints
    return {
        "name": read.name,
        "listen": list(read.listen),
        "discovery": list(read.discovery),
        "second discovery": read.alternative_discovery,
        "seed": read.seed,
        "descriptors": read.max_descriptors,
        "peer listen": list(read.peer_listen or ()),
        "peers": [list(peer) for peer in read.peers],
        "log level": read.log_level,
        "zone": read.zone,
        "servers": {
            "generation": known.generation,
            "complete": known.is_complete,
            "rows": [server(row) for row in known.endpoints],
            "addresses": {name: list(address) for name, address in known.addresses.items()},
        },
        "deployment": deployment(read.deployment),
        "planners": None if read.planners is None else planners(read.planners),
        "fleet": None if read.cluster is None else fleet(read.cluster),
        "leases": None if read.leadership is None else leases(read.leadership),
        "rules file": None if read.routing_rules_path is None else Path(read.routing_rules_path).name,
        "rules": None
        if read.routing_rules is None
        else {
            "version": read.routing_rules.version,
            "count": read.routing_rules.rule_count,
            "sha256": read.routing_rules.digest,
        },
        "decisions": None if read.routing_rules is None else decisions(read),
    }


def server(row: types.EndpointStatus) -> JsonObject:
    """Returns an entry of the list of app servers."""
    return {
        "name": row.server,
        "zone": row.zone,
        "cell": row.cell,
        "state": row.state.value,
        "weight": row.weight,
        "started ms": row.started_at,
    }


def deployment(read: Any) -> JsonObject:
    """Returns the settings that a node's file and the simulator's first event have in common."""
    allowed = read.limits
    slow_start = read.slow_start
    return {
        "node number": read.node_index,
        "nodes": read.node_count,
        "tick ms": read.tick_ms,
        "frontends": [frontend(one) for one in read.frontends],
        "plans": [plan(one) for one in read.plans],
        "cold start": {
            "start share": slow_start.initial_fraction,
            "warm ms": slow_start.warmup_ms,
            "overload multiple": slow_start.overload_multiple,
            "overload window ms": slow_start.overload_window_ms,
        },
        "allowed": {
            "attempts": allowed.max_attempts,
            "parallel attempts": allowed.may_overlap_attempts,
            "cancel": allowed.may_cancel_attempts,
            "peers": allowed.may_send_peer_messages,
            "longest retry-after ms": allowed.max_retry_after_ms,
            "peer messages a second": allowed.peer_messages_per_second,
            "own share": allowed.safe_share,
            "drain grace ms": allowed.drain_grace_ms,
        },
        "discovery must be asked": read.polls_endpoints,
        "drain grace ms": read.drain_grace_ms,
        "connect timeout ms": read.connect_timeout_ms,
        "keep-alive ms": read.keep_alive_ms,
        "largest request in units": read.max_request_units,
    }


def frontend(read: types.Frontend) -> JsonObject:
    """Returns a frontend's settings."""
    return {
        "name": read.name,
        "response target ms": read.latency_objective_ms,
        "client timeout ms": read.client_timeout_ms,
        "repeatable": read.idempotency.value,
        "deduplication group": read.deduplication_scope.value,
        "deduplication window ms": read.deduplication_window_ms,
        "value": read.priority_weight,
        "late value": read.late_weight,
        "target stretch": read.latency_objective_stretch,
        "streamed": read.is_streamed,
    }


def plan(read: types.Plan) -> JsonObject:
    """Returns a plan's quota and hard limit."""
    return {
        "name": read.name,
        "rate": read.rate,
        "burst": read.burst,
        "concurrency limit": read.concurrency_limit,
        "price": read.priority_factor,
        "ceiling rate": read.hard_limit_rate,
        "ceiling burst": read.hard_limit_burst,
    }


def planners(read: PlannerClientConfig) -> JsonObject:
    """Returns the planners from which a node leases quota."""
    members = {name: list(address) for name, address in read.members.items()}
    return {"membership version": read.membership_version, "members": members, "own share": read.safe_share}


def fleet(read: Any) -> JsonObject:
    """Returns the cluster members to which a node connects."""
    members = {name: list(address) for name, address in read.membership.members.items()}
    version = read.membership.version
    return {"listen": list(read.listen), "membership version": version, "members": members}


def leases(read: LeadershipConfig) -> JsonObject:
    """Returns roles, acceptors, nodes and timing of the leader election."""
    return {
        "membership version": read.acceptors.version,
        "voters": list(read.acceptors.names),
        "voters before": list(read.acceptors.previous_names),
        "names": list(read.roles),
        "nodes": list(read.nodes),
        "barred": {name: list(nodes) for name, nodes in read.excluded_nodes.items()},
        "lease ms": read.timing.lease_ms,
        "clock drift": read.timing.drift,
        "clock skew ms": read.timing.skew_ms,
        "file": read.log_path,
        "action receiver": None if read.fenced_resource is None else list(read.fenced_resource),
        "action interval ms": read.report_interval_ms,
    }


class Server:
    """App server with the attributes that routing rules select by."""

    def __init__(self, name: str, zone: str, cell: int) -> None:
        self.id = name
        self.zone = zone
        self.cell = cell


CUSTOMER_HASHES = [number * 0x9E3779B1 % 2**32 for number in range(24)]
SERVERS = [Server(f"s-{i}", "abc"[i % 3], i % 2) for i in range(6)]


def decisions(read: NodeConfig) -> list[list[Any]]:
    """Returns what the routing rules allow to sample customers of each frontend and plan.

    Each row names the allowed app servers, the largest number of attempts and the allowed share of capacity.
    """
    rows = []
    assert read.routing_rules is not None
    for frontend_settings in read.deployment.frontends:
        for plan_settings in read.deployment.plans:
            for customer in CUSTOMER_HASHES:
                constraint = read.routing_rules.constraint_for(
                    frontend_settings.name, plan_settings.name, customer
                )
                names = " ".join(server.id for server in constraint.select(SERVERS))
                rows.append(
                    [
                        frontend_settings.name,
                        plan_settings.name,
                        customer,
                        names,
                        str(constraint.max_attempts),
                        constraint.capacity_share,
                    ]
                )
    return rows


def rules(data: bytes) -> JsonObject:
    """Returns the content of a file of routing rules."""
    read = schema.parse(data)
    return {
        "version": read.version,
        "zones": read.additional_zones,
        "rules": [rule(one) for one in read.rules],
    }


def rule(read: schema.Rule) -> JsonObject:
    """Returns one routing rule."""
    customers = read.customers
    servers = read.servers
    return {
        "name": read.name,
        "frontends": read.frontends,
        "plans": read.plans,
        "customers": None if customers is None else {"share": customers.share, "salt": customers.salt},
        "node zones": read.node_zones,
        "attempts": read.max_attempts,
        "window share": read.capacity_share,
        "servers": None
        if servers is None
        else [choice(servers), *(one if isinstance(one, str) else choice(one) for one in servers.fallbacks)],
    }


def choice(read: schema.ServerChoice) -> JsonObject:
    """Returns a choice of app servers by zone, cell and name."""
    cells: Any = read.cells
    if isinstance(cells, dict):
        cells = {str(cell): weight for cell, weight in cells.items()}
    return {"zones": read.zones, "cells": cells, "names": read.names}
