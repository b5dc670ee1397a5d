"""Draws the faults of a script from a seed. No I/O.

Equal seeds must draw equal faults in all builds. Never change the strings that seed random sources, or the
order in which random numbers are drawn.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from onyxpost.simulation.multiprocess.fault_script import (
    ACCEPTOR_COUNT,
    ALL_TARGETS,
    DATAGRAM_FAULTS,
    GLOBAL_FAULTS,
    LINK_SEPARATOR,
    Fault,
    FaultRate,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

FAULT_FREE_START_SECONDS = 1.0  # time at the start of a run in which no fault starts
FAULT_FREE_END_SECONDS = FAULT_FREE_START_SECONDS / 3.0  # time at the end in which no fault starts
MINUTE_SECONDS = 60.0
LEADER_PROBABILITY = 2.0 / 3.0  # probability that a fault targets a leader
SHARED_NODE_PROBABILITY = 1.0 / 3.0  # probability that one node is in both groups
REVERSED_LINK_PROBABILITY = 0.5  # probability that the direction of a drawn link is reversed
LEASE_FACTORS = (1.1, 2.0)  # range of the minimum duration of a pause, in leases
NODE_FAULTS = ("stop", "kill", "term", "servers-cut", "alone", "late-act")

Groups = tuple[tuple[str, ...], ...]


class DrawSettings(NamedTuple):
    """The size of a run.

    Pauses are drawn longer than `lease_seconds`. `roles` is above 0 in the environment `leadership` only.
    """

    nodes: int
    servers: int
    seconds: float
    lease_seconds: float = 0.0
    roles: int = 0


def draw_faults(seed: int, settings: DrawSettings, rates: Mapping[str, FaultRate]) -> list[Fault]:
    """Returns the faults of a seed, in order of start; each kind is drawn from a random source of its own."""
    faults: list[Fault] = []
    for kind in sorted(rates):
        rng = Random(f"{seed}/{settings.nodes}/{kind}")
        mean = rates[kind].per_minute * settings.seconds / MINUTE_SECONDS
        count = int(mean) + (rng.random() < mean % 1.0)
        faults.extend(_draw_fault(kind, rates[kind], settings, rng) for _ in range(count))
    return sorted(faults)


def _draw_fault(kind: str, rate: FaultRate, settings: DrawSettings, rng: Random) -> Fault:
    latest_start = max(FAULT_FREE_START_SECONDS, settings.seconds - FAULT_FREE_END_SECONDS)
    start_seconds = rng.uniform(FAULT_FREE_START_SECONDS, latest_start)
    duration_seconds = rng.uniform(*sorted(rate.duration_seconds))
    if kind in ("stop", "late-act"):
        duration_seconds = max(duration_seconds, settings.lease_seconds * rng.uniform(*LEASE_FACTORS))
    draw_target = _draw_leadership_target if settings.roles else _draw_edge_target
    target = draw_target(kind, settings, rng)
    groups: Groups = ()
    if kind == "groups":
        groups = _draw_groups(settings.nodes, rng)
    elif kind == "bridge":
        groups = _draw_bridge(settings.nodes, rng)
    intensity = round(rng.random(), 6)
    drawn = {
        "at": round(start_seconds, 4),
        "kind": kind,
        "whom": target,
        "lasts": round(duration_seconds, 4),
        "more": intensity,
        "groups": groups,
    }
    return msgspec.convert(drawn, Fault)


def _draw_edge_target(kind: str, settings: DrawSettings, rng: Random) -> str:
    nodes = settings.nodes
    node = rng.randrange(nodes)
    other_offset = rng.randrange(max(1, nodes - 1))
    server = rng.randrange(max(1, settings.servers))
    if kind in ("drain", "slow"):
        return f"s{server}"
    if kind in GLOBAL_FAULTS:
        return ALL_TARGETS
    if kind in NODE_FAULTS:
        return f"n{node}"
    others = [f"n{(node + 1 + other_offset) % nodes}"] if nodes > 1 else []
    if kind not in DATAGRAM_FAULTS:
        others += [f"s{server}", f"d{node}"]
    return _draw_link(f"n{node}", others or [f"d{node}"], rng)


def _draw_leadership_target(kind: str, settings: DrawSettings, rng: Random) -> str:
    """Draws a target, preferably a leader; links are between nodes, or from or to the resource `s0`."""
    if kind in GLOBAL_FAULTS:
        return ALL_TARGETS
    leader = f"h{rng.randrange(settings.roles)}"
    if kind == "late-act" or rng.random() < LEADER_PROBABILITY:
        target = leader
    else:
        target = f"n{rng.randrange(settings.nodes)}"
    if kind in NODE_FAULTS:
        return target
    node = f"n{rng.randrange(settings.nodes)}"
    acceptor = f"n{rng.randrange(min(ACCEPTOR_COUNT, settings.nodes))}"
    return _draw_link(target, [node, acceptor, "s0"], rng)


def _draw_link(end: str, others: list[str], rng: Random) -> str:
    ends = [end, rng.choice(others)]
    if rng.random() < REVERSED_LINK_PROBABILITY:
        ends.reverse()
    return LINK_SEPARATOR.join(ends)


def _draw_bridge(nodes: int, rng: Random) -> Groups:
    """Draws two groups with an acceptor each; the third acceptor is in both, the only path between them."""
    acceptors = [f"n{i}" for i in range(min(ACCEPTOR_COUNT, nodes))]
    rng.shuffle(acceptors)
    groups = [set(acceptors[:1] + acceptors[i : i + 1]) for i in (1, 2)]
    for node in range(ACCEPTOR_COUNT, nodes):
        groups[rng.randrange(2)].add(f"n{node}")
    return tuple(tuple(sorted(group)) for group in groups)


def _draw_groups(nodes: int, rng: Random) -> Groups:
    """Draws two groups; with `SHARED_NODE_PROBABILITY` one node is in both, the only path between them."""
    order = [f"n{i}" for i in range(nodes)]
    rng.shuffle(order)
    first_size = rng.randint(1, max(1, nodes - 1))
    first = order[:first_size]
    second = order[first_size:]
    if rng.random() < SHARED_NODE_PROBABILITY and len(order) > 2:  # noqa: PLR2004 - two nodes would not be separated
        second.append(first[0])
    return tuple(sorted(first)), tuple(sorted(second))
