"""Fault scripts drawn from seeds. No I/O.

The script of a seed must never change, since recorded seeds could not be replayed otherwise.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import Any, NamedTuple

from onyxpost.simulation.deterministic.deployment import NODE_COUNT, SERVER_COUNT

SCRIPT_SECONDS = 4.0  # how long clients send requests; the run then waits for the outstanding answers
# Clients send requests for this long after a permanent drain, so that some requests are sent when the drain
# already counts as known to every node.
PERMANENT_DRAIN_SECONDS = 9.0


LONG_DISCOVERY_FAULT_FRACTION = 0.5


class FaultKind(StrEnum):
    """The kinds of faults; the values are part of result files."""

    DRAIN = "drain"
    CRASH = "crash"
    HANG = "hang"
    FAIL = "fail"
    BUSY = "busy"
    DROP = "drop"
    SLOW = "slow"
    BREAK = "break"
    RESET = "reset"
    MALFORMED_RESPONSES = "spoil"
    CUT_OFF = "cut"
    KILL = "kill"
    SIGTERM = "term"
    SIGHUP = "hup"
    AGENT_SILENT = "agent-silent"
    TWO_SERVERS_CUT_OFF = "edge-cut"
    DATAGRAM_LOSS = "loss"
    LATE_UPDATES = "lists-late"
    BURST = "burst"
    DRAIN_ON_RESET = "drain-on-reset"
    DISCONNECT_ON_ANSWER = "cross"
    PERMANENT_DRAIN = "drain-on"
    SLOW_START_BURST = "cold-burst"
    EARLY_DISCONNECTS = "leave"
    POLLS_SILENT = "watch-silent"
    POLLS_RESET = "watch-reset"
    AGENT_LATE = "agent-late"
    AGENT_REFUSES = "agent-refuse"
    AGENT_BUSY = "agent-busy"
    AGENT_TRUNCATES = "agent-cut"


class Fault(NamedTuple):
    """One fault of a script; the faults of a script are sorted by these fields in this order."""

    at_seconds: float
    kind: FaultKind
    target: int
    """The index of the server or node that the fault affects."""
    duration_seconds: float
    magnitude: float
    """From 0 to 1; the meaning depends on the kind."""

    def to_record(self) -> dict[str, Any]:
        """Returns the fault with the keys that result files have."""
        return {
            "at": self.at_seconds,
            "kind": self.kind.value,
            "whom": self.target,
            "lasts": self.duration_seconds,
            "more": self.magnitude,
        }


# A seed draws an index into these tuples, so that a changed order or length changes the scripts of seeds.
SERVER_FAULTS = (
    FaultKind.DRAIN,
    FaultKind.CRASH,
    FaultKind.HANG,
    FaultKind.FAIL,
    FaultKind.BUSY,
    FaultKind.DROP,
    FaultKind.SLOW,
    FaultKind.BREAK,
    FaultKind.RESET,
    FaultKind.MALFORMED_RESPONSES,
    FaultKind.CUT_OFF,
)
NODE_FAULTS = (
    FaultKind.KILL,
    FaultKind.SIGTERM,
    FaultKind.SIGHUP,
    FaultKind.AGENT_SILENT,
    FaultKind.TWO_SERVERS_CUT_OFF,
)
CLUSTER_FAULTS = (
    FaultKind.DATAGRAM_LOSS,
    FaultKind.LATE_UPDATES,
    FaultKind.BURST,
    FaultKind.DRAIN_ON_RESET,
    FaultKind.DISCONNECT_ON_ANSWER,
)
DISCOVERY_FAULTS = (
    FaultKind.POLLS_SILENT,
    FaultKind.POLLS_SILENT,
    FaultKind.POLLS_RESET,
    FaultKind.AGENT_LATE,
    FaultKind.AGENT_REFUSES,
    FaultKind.AGENT_BUSY,
    FaultKind.AGENT_TRUNCATES,
    FaultKind.AGENT_SILENT,
    FaultKind.POLLS_SILENT,
)


def draw_script(seed: int) -> list[Fault]:
    """Returns the base faults of a seed and, for two thirds of the seeds, coinciding faults in addition."""
    return sorted([*draw_base_faults(seed), *draw_coinciding_faults(seed)])


def draw_base_faults(seed: int) -> list[Fault]:
    """Returns two to seven faults, independent of each other."""
    rng = Random(f"{seed}/script")
    return sorted(_draw_fault(rng) for _ in range(rng.randint(2, 7)))


def _draw_fault(rng: Random) -> Fault:
    kinds = rng.choice((SERVER_FAULTS, SERVER_FAULTS, NODE_FAULTS, CLUSTER_FAULTS))
    kind = rng.choice(kinds)
    target = rng.randrange(SERVER_COUNT if kinds is SERVER_FAULTS else NODE_COUNT)
    at_seconds = rng.uniform(0.2, SCRIPT_SECONDS - 0.5)
    duration_seconds = rng.uniform(0.1, 1.5)
    return Fault(round(at_seconds, 4), kind, target, round(duration_seconds, 4), round(rng.random(), 6))


def draw_coinciding_faults(seed: int) -> list[Fault]:
    """Returns faults that are meant to coincide; an empty list for a third of the seeds.

    They are drawn from a separate random source, so that the base faults do not depend on them.
    """
    rng = Random(f"{seed}/crossing")
    at_seconds = round(rng.uniform(0.3, 2.5), 4)
    duration_seconds = round(rng.uniform(0.1, 1.5), 4)
    magnitude = round(rng.random(), 6)
    node = rng.randrange(NODE_COUNT)
    server = rng.randrange(SERVER_COUNT)
    match rng.randrange(6):
        case 0 | 1:
            kind = FaultKind.PERMANENT_DRAIN
            drain = Fault(at_seconds, kind, server, duration_seconds, magnitude)
            return _draw_unnoticed_drain(rng, drain, node)
        case 2:
            kind = FaultKind.SLOW_START_BURST
        case 3:
            kind = FaultKind.EARLY_DISCONNECTS
        case _:
            return []
    return [Fault(at_seconds, kind, server, duration_seconds, magnitude)]


def _draw_unnoticed_drain(rng: Random, drain: Fault, node: int) -> list[Fault]:
    """Returns a discovery fault of a node and a permanent drain that begins at about the same time."""
    at_seconds = drain.at_seconds
    duration_seconds = drain.duration_seconds
    drain_at_seconds = round(at_seconds + rng.uniform(-0.1, min(duration_seconds, 0.8)), 4)
    if rng.random() < LONG_DISCOVERY_FAULT_FRACTION:
        duration_seconds = round(rng.uniform(1.5, 6.5), 4)
    kind = rng.choice(DISCOVERY_FAULTS)
    return [
        Fault(at_seconds, kind, node, duration_seconds, drain.magnitude),
        drain._replace(at_seconds=drain_at_seconds, duration_seconds=duration_seconds),
    ]


def script_seconds(faults: list[Fault]) -> float:
    """Returns how long clients send requests in a run with these faults."""
    end_seconds = [
        fault.at_seconds + PERMANENT_DRAIN_SECONDS
        for fault in faults
        if fault.kind is FaultKind.PERMANENT_DRAIN
    ]
    if end_seconds:
        end_seconds += [
            fault.at_seconds + fault.duration_seconds + PERMANENT_DRAIN_SECONDS
            for fault in faults
            if fault.kind is FaultKind.AGENT_REFUSES
        ]
    return max([SCRIPT_SECONDS, *end_seconds])
