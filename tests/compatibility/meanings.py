"""What the program reads from its files, as plain JSON with neutral keys; `values` is for messages.

Only these two, `simulation_meanings`, `command_line` and the recorders import the program: a rename changes
the Python names there, never a neutral key.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

import msgspec

from onyxpost.errors import OperatorError
from onyxpost.leadership.acceptor_log import AcceptorLog
from onyxpost.leadership.acceptor_state import AcceptorState
from onyxpost.leadership.ballots import Ballot
from onyxpost.leadership.errors import AcceptorLogError
from onyxpost.leadership.protocol import Record
from onyxpost.node import config as edge_node
from onyxpost.planner import config as planner_file
from onyxpost.rollout.routing_rules import schema
from onyxpost.simulation import report, results
from onyxpost.simulation.discrete_event.batch import run_seed
from onyxpost.simulation.discrete_event.scenario import encode_scenario
from onyxpost.simulation.discrete_event.scenario_files import load_scenario, resize_scenario
from onyxpost.simulation.invariants.records import Invariant
from onyxpost.simulation.invariants.records import Violation as EmulatorBreach
from onyxpost.simulation.multiprocess.checker import Violation
from onyxpost.simulation.multiprocess.fault_script import Fault, FaultScript, decode_script, encode_script
from onyxpost.simulation.multiprocess.run_result import RunResult
from tests.compatibility import command_line

if TYPE_CHECKING:
    from onyxpost.core import types
    from onyxpost.leadership.config import LeadershipConfig
    from onyxpost.node.node_config import NodeConfig, PlannerClientConfig

JsonObject = dict[str, Any]

# The recorded results name this invariant, which no checker has; result files may hold any name.
RECORDED_INVARIANT = cast("Invariant", "once")

# --- a voter's file ---------------------------------------------------------------------------------------

FIRST = AcceptorState("rollout", 1, Ballot(1_700_000_000_123, "n1", 4), Record(), 0, 0)
SECOND = AcceptorState(
    "rollout", 2, Ballot(1_700_000_000_456, "n2", 5), Record(1_700_000_000_456, 9, 8, b"\x00state\xff"), 7, 2
)
OTHER_LEASE = AcceptorState("swap", 2, Ballot(0, "-", 0), Record(0, 0, 0, b""), 0, 0)
VOTER_FILES: dict[str, list[AcceptorState]] = {
    "empty": [],
    "one entry": [FIRST],
    "later entry of the same lease": [FIRST, SECOND],
    "two leases": [FIRST, OTHER_LEASE, SECOND],
}


def write_voter_file(case: str, path: Path) -> bytes:
    """The file that a voter writes for a case of `VOTER_FILES`."""
    acceptor_log = AcceptorLog(str(path))
    for state in VOTER_FILES[case]:
        acceptor_log.append(state)
    acceptor_log.close()
    return path.read_bytes()


def read_voter_file(path: Path) -> JsonObject:
    """What a voter that starts knows from its file, or the place and remedy of its refusal."""
    try:
        acceptor_log = AcceptorLog(str(path))
    except AcceptorLogError as error:
        return {"refused": {"place": error_location(str(error)), "remedy": error.remedy}}
    acceptor_log.close()
    leases = {name: voter_state(state) for name, state in acceptor_log.states.items()}
    return {"leases": leases, "bytes kept": path.stat().st_size}


def voter_state(state: AcceptorState) -> JsonObject:
    """What a voter must not forget of one lease."""
    ballot = state.promised
    record = state.record
    return {
        "lease": state.role,
        "membership version": state.acceptor_set_version,
        "promised": {"number": ballot.number, "node": ballot.node, "incarnation": ballot.incarnation},
        "record": {
            "ballot": record.ballot_number,
            "sequence": record.sequence,
            "fencing token": record.fencing_token,
            "body": record.body.hex(),
        },
        "era": state.record_epoch_ms,
        "settled version": state.settled_version,
    }


# --- files of nodes, planners and rules -------------------------------------------------------------------


def read_config(path: Path) -> JsonObject:
    """The meaning of a node's or a planner's file."""
    if planner_file.is_planner_file(msgspec.json.decode(path.read_bytes())):
        return planner(planner_file.read_config(str(path)))
    return node(edge_node.read({"EDGE_CONFIG": str(path)}))


def planner(read: planner_file.PlannerConfig) -> JsonObject:
    """A planner's settings."""
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
    """An edge node's settings."""
    known = read.known_endpoints
    return {
        "name": read.name,
        "listen": list(read.listen),
        "discovery": list(read.discovery),
        "second discovery": read.alternate_discovery,
        "seed": read.seed,
        "descriptors": read.max_descriptors,
        "peer listen": list(read.peer_listen or ()),
        "peers": [list(peer) for peer in read.peers],
        "log level": read.log_level,
        "zone": read.zone,
        "servers": {
            "generation": known.generation,
            "complete": known.complete,
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
    """A row of the server list."""
    return {
        "name": row.server,
        "zone": row.zone,
        "cell": row.cell,
        "state": row.state.value,
        "weight": row.weight,
        "started ms": row.started_at,
    }


def deployment(read: Any) -> JsonObject:
    """The part of a node's file that the simulator gives too."""
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
            "parallel attempts": allowed.parallel_attempts,
            "cancel": allowed.cancellation,
            "peers": allowed.peer_messages,
            "longest retry-after ms": allowed.max_retry_after_ms,
            "peer messages a second": allowed.peer_messages_per_second,
            "own share": allowed.local_share,
            "drain grace ms": allowed.drain_grace_ms,
        },
        "discovery must be asked": read.polls_endpoints,
        "drain grace ms": read.drain_grace_ms,
        "connect timeout ms": read.connect_timeout_ms,
        "keep-alive ms": read.keep_alive_ms,
        "largest request in units": read.max_request_units,
    }


def frontend(read: types.Frontend) -> JsonObject:
    """A frontend's settings."""
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
        "streamed": read.streamed,
    }


def plan(read: types.Plan) -> JsonObject:
    """A plan's quota."""
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
    """Who grants a node its allowances."""
    members = {name: list(address) for name, address in read.members.items()}
    return {"membership version": read.membership_version, "members": members, "own share": read.safe_share}


def fleet(read: Any) -> JsonObject:
    """Whom a node has links to."""
    members = {name: list(address) for name, address in read.membership.members.items()}
    version = read.membership.version
    return {"listen": list(read.listen), "membership version": version, "members": members}


def leases(read: LeadershipConfig) -> JsonObject:
    """Who votes on which leases, and by which times."""
    return {
        "membership version": read.acceptors.version,
        "voters": list(read.acceptors.names),
        "voters before": list(read.acceptors.previous_names),
        "names": list(read.roles),
        "nodes": list(read.nodes),
        "barred": {name: list(nodes) for name, nodes in read.barred.items()},
        "lease ms": read.timing.lease_ms,
        "clock drift": read.timing.drift,
        "clock skew ms": read.timing.skew_ms,
        "file": read.log_path,
        "action receiver": None if read.fenced_resource is None else list(read.fenced_resource),
        "action interval ms": read.report_interval_ms,
    }


class Server:
    """What rules look at in a server."""

    def __init__(self, name: str, zone: str, cell: int) -> None:
        self.id = name
        self.zone = zone
        self.cell = cell


CUSTOMER_HASHES = [number * 0x9E3779B1 % 2**32 for number in range(24)]
SERVERS = [Server(f"s-{i}", "abc"[i % 3], i % 2) for i in range(6)]


def decisions(read: NodeConfig) -> list[list[Any]]:
    """What the rules leave to customers: servers, attempts and the share of the window."""
    found = []
    assert read.routing_rules is not None
    for one in read.deployment.frontends:
        for offer in read.deployment.plans:
            for customer in CUSTOMER_HASHES:
                left = read.routing_rules.constraint_for(one.name, offer.name, customer)
                names = " ".join(server.id for server in left.select(SERVERS))
                found.append(
                    [one.name, offer.name, customer, names, str(left.max_attempts), left.capacity_share]
                )
    return found


def rules(data: bytes) -> JsonObject:
    """The meaning of a rules' file by itself."""
    read = schema.parse(data)
    return {"version": read.version, "zones": read.zones, "rules": [rule(one) for one in read.rules]}


def rule(read: schema.Rule) -> JsonObject:
    """One routing rule."""
    customers = read.customers
    servers = read.servers
    return {
        "name": read.name,
        "frontends": read.frontends,
        "plans": read.plans,
        "customers": None if customers is None else {"share": customers.share, "salt": customers.salt},
        "node zones": read.node_zones,
        "attempts": read.attempts,
        "window share": read.window,
        "servers": None
        if servers is None
        else [choice(servers), *(one if isinstance(one, str) else choice(one) for one in servers.fallbacks)],
    }


def choice(read: schema.ServerChoice) -> JsonObject:
    """Servers by zone, cell and name."""
    cells: Any = read.cells
    if isinstance(cells, dict):
        cells = {str(cell): weight for cell, weight in cells.items()}
    return {"zones": read.zones, "cells": cells, "names": read.names}


# --- the laboratory's results -----------------------------------------------------------------------------


def emulator_results() -> bytes:
    """A short run of the emulator with few nodes, and two broken rules as it would write them."""
    scenario = msgspec.structs.replace(resize_scenario(load_scenario("calm"), 4, 4), seconds=2.0, events=[])
    data = run_seed(encode_scenario(scenario), 1, {}).data
    lines = data.splitlines(keepends=True)
    breaches = [EmulatorBreach(RECORDED_INVARIANT, 12.5, "n0", "r1", "s-1", "ran twice").to_record()]
    broken = results.encode({"kind": "breach", **one} for one in breaches)
    return b"".join([*lines[:-1], broken, lines[-1]])


def read_results(path: Path) -> JsonObject:
    """Results by line and as the comparison reads them, or the place and remedy of their refusal."""
    try:
        lines = results.read(path)
        compared = report.compare(report.read_runs(path), report.read_runs(path)) if is_run(lines) else []
    except OperatorError as error:
        return {"refused": {"place": error_location(str(error)), "remedy": error.remedy}}
    columns = {row.figure: [row.first.low, row.first.mean, row.first.high] for row in compared}
    return {"lines": lines, "scenarios": sorted({row.scenario for row in compared}), "columns": columns}


def is_run(lines: list[JsonObject]) -> bool:
    """Of the emulator, not of real processes."""
    return any(line["kind"] == "run" for line in lines)


FAULTS = [
    Fault(
        start_seconds=1.5,
        kind="groups",
        target="all",
        duration_seconds=0.5,
        groups=(("n0", "n1"), ("n1", "n2")),
    ),
    Fault(start_seconds=2.25, kind="cut", target="n0>s1", duration_seconds=1.0, intensity=0.25),
]
SCRIPT = FaultScript("edge-cuts", 7, 3, 4.0, FAULTS, mutation="")


def process_results() -> bytes:
    """Results of a play with real processes."""
    violation = Violation(invariant="once", seed=7, at_ms=812.5, node="n0", description="ran twice")
    played = {"cut": 1, "groups": 1}
    broken = RunResult(SCRIPT, [violation], {"requests": 120, "answers": [100, 20]}, played, 1.26)
    clean = RunResult(SCRIPT, [], {"requests": 9}, {}, 0.0)
    total = {"kind": "total", "scenario": "edge-cuts", "seeds": 2, "broken": 1}
    return results.encode([broken.to_result_line(), clean.to_result_line(), total])


def fault_script_bytes() -> bytes:
    """A kept fault script."""
    return encode_script(SCRIPT)


def read_fault_script(data: bytes) -> JsonObject:
    """The meaning of a kept fault script."""
    read = decode_script(data, "script")
    faults = [
        {
            "at s": fault.start_seconds,
            "kind": fault.kind,
            "target": fault.target,
            "duration s": fault.duration_seconds,
            "intensity": fault.intensity,
            "groups": [list(group) for group in fault.groups],
        }
        for fault in read.faults
    ]
    return {
        "scenario": read.scenario,
        "seed": read.seed,
        "nodes": read.nodes,
        "seconds": read.seconds,
        "planted bug": read.mutation,
        "version": read.version,
        "faults": faults,
    }


# --- refusals by the command line -------------------------------------------------------------------------


def error_location(text: str) -> str | None:
    """The place that a message names: a key, a line or a byte."""
    found = re.search(r"`(\$[^`]*)`|(\bline \d+)|(\bbyte \d+)", text)
    return None if found is None else next(group for group in found.groups() if group)


def run_command(arguments: list[str]) -> tuple[int, str]:
    """Exit code and output of the command line, without the line that announces an old spelling."""
    result = command_line.run(arguments)
    return result.exit_code, result.output + result.error


def remedies() -> set[str]:
    """Each remedy that an error of the program offers."""
    kinds: list[type[OperatorError]] = [OperatorError]
    for kind in kinds:
        kinds += kind.__subclasses__()
    return {kind.remedy for kind in kinds if kind.remedy}


def remedy_in(output: str) -> str | None:
    """The remedy with which an output ends."""
    fitting = [remedy for remedy in remedies() if output.rstrip().endswith(f"({remedy})")]
    return max(fitting, key=len) if fitting else None
