"""The fault script: drawn from a seed, written and read as JSON, the same list each time. Pure.

Sockets do not replay; the script does. Times are s from the moment in which all processes serve.
"""

from __future__ import annotations

from random import Random
from typing import Annotated, Literal, get_args

import msgspec
from msgspec import Meta

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError

VERSION = 1
QUIET = 1.0  # s at the start without faults, and a third of it at the end

Kind = Literal[
    "delay",
    "lose",
    "duplicate",
    "reorder",  # of a way between two nodes; but for delay of datagrams only
    "cut",
    "groups",
    "servers-cut",
    "reset",
    "stall",  # cut: one way; groups: nodes in no common group
    "stop",
    "kill",
    "term",
    "all-killed",  # of processes
    "alone",
    "bridge",
    "voters-killed",
    "late-act",  # of nodes that hold duties
    "drain",
    "slow",  # of stand-in app servers
]
KINDS: tuple[str, ...] = get_args(Kind)
DATAGRAMS = ("lose", "duplicate", "reorder")
ALL = ("groups", "bridge", "all-killed", "voters-killed")
VOTERS = 3  # in the stage `duties`: n0, n1, n2


class Some(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many of one kind, and for how long."""

    per_minute: Annotated[float, Meta(ge=0.0, le=600.0)]
    lasts_s: tuple[Annotated[float, Meta(gt=0.0)], Annotated[float, Meta(gt=0.0)]] = (0.5, 2.0)


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True, order=True):
    """`whom`: a process (`n1`, `s0`; `h1`: who holds duty 1 at that time), or a way as `n1>n2`; `more`: how
    much, from 0 to 1."""

    at: float
    kind: Kind
    whom: str
    lasts: float
    more: float = 0.0
    groups: tuple[tuple[str, ...], ...] = ()


class Script(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    scenario: str
    seed: int
    nodes: int
    seconds: float
    faults: list[Fault]
    plant: str = ""
    version: int = VERSION


def draw(
    seed: int,
    nodes: int,
    servers: int,
    seconds: float,
    kinds: dict[str, Some],
    lease: float = 0.0,
    duties: int = 0,
) -> list[Fault]:
    """`lease`: s; what is stopped stays so for longer than that. `duties`: their holders are places too."""
    faults: list[Fault] = []
    for kind in sorted(kinds):
        some, chance = kinds[kind], Random(f"{seed}/{nodes}/{kind}")
        mean = some.per_minute * seconds / 60.0
        for _ in range(int(mean) + (chance.random() < mean % 1.0)):
            at = chance.uniform(QUIET, max(QUIET, seconds - QUIET / 3.0))
            lasts = chance.uniform(*sorted(some.lasts_s))
            if kind in ("stop", "late-act"):
                lasts = max(lasts, lease * chance.uniform(1.1, 2.0))
            whom = _holder(kind, nodes, duties, chance) if duties else _whom(kind, nodes, servers, chance)
            groups = _groups(nodes, chance) if kind == "groups" else ()
            groups = _bridged(nodes, chance) if kind == "bridge" else groups
            more = round(chance.random(), 6)
            faults.append(Fault(round(at, 4), kind, whom, round(lasts, 4), more, groups))  # type: ignore[arg-type]
    return sorted(faults)


def _whom(kind: str, nodes: int, servers: int, chance: Random) -> str:
    node, other = chance.randrange(nodes), chance.randrange(max(1, nodes - 1))
    server = chance.randrange(max(1, servers))
    if kind in ("drain", "slow"):
        return f"s{server}"
    if kind in ALL:
        return "all"
    if kind in ("stop", "kill", "term", "servers-cut", "alone", "late-act"):
        return f"n{node}"
    between = [f"n{(node + 1 + other) % nodes}"] if nodes > 1 else []
    if kind not in DATAGRAMS:  # ways to app servers and to discovery, both of them, are there too
        between += [f"s{server}", f"d{node}"]
    ends = [f"n{node}", chance.choice(between or [f"d{node}"])]
    if chance.random() < 0.5:
        ends.reverse()
    return ">".join(ends)


def _holder(kind: str, nodes: int, duties: int, chance: Random) -> str:
    """Two of three faults are a holder's; ways are between nodes, and to who takes acts (`s0`)."""
    if kind in ALL:
        return "all"
    holder = f"h{chance.randrange(duties)}"
    one = holder if kind == "late-act" or chance.random() < 2.0 / 3.0 else f"n{chance.randrange(nodes)}"
    if kind in ("stop", "kill", "term", "alone", "late-act", "servers-cut"):
        return one
    others = [f"n{chance.randrange(nodes)}", f"n{chance.randrange(min(VOTERS, nodes))}", "s0"]
    ends = [one, chance.choice(others)]
    if chance.random() < 0.5:
        ends.reverse()
    return ">".join(ends)


def _bridged(nodes: int, chance: Random) -> tuple[tuple[str, ...], ...]:
    """Two groups with a voter each, and a voter that stands in both: the only path between them."""
    voters = [f"n{i}" for i in range(min(VOTERS, nodes))]
    chance.shuffle(voters)
    groups = [set(voters[:1] + voters[i : i + 1]) for i in (1, 2)]
    for i in range(VOTERS, nodes):
        groups[chance.randrange(2)].add(f"n{i}")
    return tuple(tuple(sorted(group)) for group in groups)


def _groups(nodes: int, chance: Random) -> tuple[tuple[str, ...], ...]:
    """Two groups; in one case of three a node stands in both, and is the only path between them."""
    order = [f"n{i}" for i in range(nodes)]
    chance.shuffle(order)
    at = chance.randint(1, max(1, nodes - 1))
    one, other = order[:at], order[at:]
    if chance.random() < 1.0 / 3.0 and len(order) > 2:
        other.append(one[0])
    return tuple(sorted(one)), tuple(sorted(other))


def encode(script: Script) -> bytes:
    return msgspec.json.format(msgspec.json.encode(script), indent=1) + b"\n"


def decode(data: bytes, where: str) -> Script:
    try:
        script: Script = msgspec.json.decode(data, type=Script)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidScenarioError(str(err), where) from err
    if script.version != VERSION:
        raise InvalidScenarioError(f"a script of version {script.version}, not {VERSION}", where)
    for i, fault in enumerate(script.faults):
        ends = fault.whom.split(">")
        for end in [*ends, *(name for group in fault.groups for name in group)]:
            known = end == "all" or (end[:1] in ("n", "s", "d", "h") and end[1:].isdigit())
            if not known or (end[0] in "nd" and end != "all" and int(end[1:]) >= script.nodes):
                raise InvalidScenarioError(f"no place {end!r} - at `$.faults[{i}]`", where)
    return script
