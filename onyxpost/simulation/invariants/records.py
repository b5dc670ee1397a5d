"""What the checker's rules are called, and what it remembers of reqs, ceilings and cold servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from onyxpost.core.types import Frontend

ANSWERS, EFFECTS, DRAINS, COLD, CEILINGS = "answers", "effects", "drains", "cold", "ceilings"
# Sent on for a client that has gone; the same of too many that waited; a drain that counts as told, heard or
# not; calls to a cold server past what is allowed and past chance.
GONE, GONE_FIRSTS, TOLD, COLD_SUM = "gone", "gone firsts", "told", "cold sum"
RULES = (ANSWERS, EFFECTS, DRAINS, COLD, CEILINGS, GONE, GONE_FIRSTS, TOLD, COLD_SUM)
FINALS = ("passed", "denied", "aborted")


class Violation(NamedTuple):
    rule: str
    at: float
    node: str
    req: str
    server: str
    what: str


@dataclass(slots=True)
class AttemptRecord:
    server: str
    zone: str
    cell: int
    at: float
    may_have_run: bool = True


@dataclass(slots=True)
class RequestRecord:
    node: str
    req: str
    frontend: Frontend
    customer: str
    units: int
    leaves: float
    sent: list[AttemptRecord] = field(default_factory=list)
    final: str = ""
    left: bool = False  # the client has gone, or the node died: no answer is owed any more
    left_at: float | None = None  # the client closed or cancelled


class Bucket:
    """A ceiling: what all nodes together may still send on for one customer."""

    def __init__(self, now: float, rate: float, burst: float, slack: float) -> None:
        self.at, self.rate, self.burst, self.slack, self.level = now, rate, burst, slack, burst
        self.lowest = burst

    def draw(self, now: float, units: float) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / 1000.0) - units
        self.at, self.lowest = now, min(self.lowest, self.level)
        return self.level >= -self.slack
