"""The faults that a seed draws. Pure."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

SECONDS = 4.0  # that a script lasts; then all that is owed is waited for
EDGES, SERVERS = 3, 4


class Fault(NamedTuple):
    at: float  # s
    kind: str
    whom: int
    lasts: float
    more: float


SERVER_KINDS = ("drain", "crash", "hang", "fail", "busy", "drop", "slow", "break", "reset", "spoil", "cut")
EDGE_KINDS = ("kill", "term", "hup", "agent-silent", "edge-cut")
FLEET_KINDS = ("loss", "lists-late", "burst", "drain-on-reset", "cross")


def script(seed: int) -> list[Fault]:
    chance = Random(f"{seed}/script")
    faults = []
    for _ in range(chance.randint(2, 7)):
        kinds = chance.choice((SERVER_KINDS, SERVER_KINDS, EDGE_KINDS, FLEET_KINDS))
        kind = chance.choice(kinds)
        whom = chance.randrange(SERVERS if kinds is SERVER_KINDS else EDGES)
        at, lasts = chance.uniform(0.2, SECONDS - 0.5), chance.uniform(0.1, 1.5)
        faults.append(Fault(round(at, 4), kind, whom, round(lasts, 4), round(chance.random(), 6)))
    return sorted(faults)
