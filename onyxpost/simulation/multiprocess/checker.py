"""From what all processes wrote to broken rules: name, seed, moment, who. No I/O, no clock.

An event is a dict with `t` (ms since all served, by the machine's one monotonic clock) and `event`. A judge
reads all events of a run in order of time; a stage names its judges.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

Event = dict[str, Any]
LONG = 40.0  # ms
OVERDUE = 100.0  # ms before such a line in which the process may have been held up
WAKE = 100.0  # ms after SIGCONT in which a process finds out that time has passed


class Violation(NamedTuple):
    rule: str
    seed: int
    at: float  # ms
    who: str
    what: str

    def line(self) -> str:
        return f"{self.rule} broken at {self.at:.0f} ms, seed {self.seed}: {self.who}: {self.what}"


Found = list[tuple[str, float, str, str]]  # rule, at, who, what
Judge = Callable[[Sequence[Event]], Found]


def check(events: Iterable[Event], judges: Iterable[Judge], seed: int) -> list[Violation]:
    ordered = sorted(events, key=lambda event: float(event["t"]))
    found = [
        Violation(rule, seed, at, who, what) for judge in judges for rule, at, who, what in judge(ordered)
    ]
    return sorted(found, key=lambda breach: breach.at)


class Away:
    """When each process did not run: stopped, dead, or just awake again; and when it was leaving."""

    def __init__(self, events: Sequence[Event], wake: float = WAKE) -> None:
        self.spans: dict[str, list[tuple[float, float]]] = {}
        self.leaving: dict[str, list[tuple[float, float]]] = {}
        self.dead: dict[str, list[tuple[float, float]]] = {}  # until another life is started
        since: dict[str, float] = {}
        told: dict[str, float] = {}
        died: dict[str, float] = {}
        for event in events:
            if event["event"] != "process":
                continue
            name, t = event["node"], float(event["t"])
            match event["what"]:
                case "terminated":
                    told[name] = t
                case "stopped":
                    since[name] = t
                case "killed" | "left" | "crashed":
                    since.setdefault(name, t)
                    died[name] = t
                    if name in told:
                        self.leaving.setdefault(name, []).append((told.pop(name), t))
                case "started" if name in died:
                    self.dead.setdefault(name, []).append((died.pop(name), t))
                case "continued" | "serving" if name in since:
                    late = wake if event["what"] == "continued" else 0.0
                    self.spans.setdefault(name, []).append((since.pop(name), t + late))
        for begun, spans in ((since, self.spans), (told, self.leaving), (died, self.dead)):
            for name, t in begun.items():
                spans.setdefault(name, []).append((t, float("inf")))

    def within(self, name: str, begin: float, end: float) -> bool:
        return any(a <= end and begin <= b for a, b in self.spans.get(name, ()))

    def back(self, name: str, t: float) -> float:
        """The moment at which what came at `t` can have been read."""
        return next((b for a, b in self.spans.get(name, ()) if a <= t <= b), t)


class Late:
    """When the machine held up the rig, and with it all, or one process: for `LONG` ms or more at once."""

    def __init__(self, events: Sequence[Event]) -> None:
        self.spans: dict[str, list[tuple[float, float]]] = {}
        for event in events:
            if event["event"] == "lag" and event["ms"] >= LONG:
                span = float(event["t"]) - float(event["ms"]) - LONG, float(event["t"])
                self.spans.setdefault(str(event.get("node", "")), []).append(span)
        short = [float(e["ms"]) for e in events if e["event"] == "lag" and e["ms"] < LONG]
        self.slack = max(short, default=0.0)

    def within(self, node: str, begin: float, end: float) -> float:
        """ms in all of those that touch this time."""
        spans = [*self.spans.get("", ()), *self.spans.get(node, ())]
        return sum((b - a for a, b in spans if a <= end and begin <= b), 0.0)


def faults(events: Sequence[Event]) -> Found:
    """Any stage: an exception in a process, or a process that did not leave in peace. One that was stopped
    past a client timeout or held up finds its reqs overdue: that is no bug."""
    found: Found = []
    away, late = Away(events), Late(events)
    for event in events:
        if event["event"] == "overdue" and (
            away.within(event["node"], event["t"], event["t"])
            or late.within(event["node"], event["t"] - OVERDUE, event["t"] + LONG)
        ):
            continue
        if event["event"] in ("fault", "overdue"):
            cause = str(event.get("cause", event.get("request", ""))).strip().splitlines()[-1:]
            what = f"{event['event']} at {event.get('where')}: {' '.join(cause)[-300:]}"
            found.append(("faults", event["t"], str(event.get("node")), what))
        elif event["event"] == "process" and event["what"] in ("overstayed", "crashed"):
            found.append(("faults", event["t"], event["node"], f"{event['what']} after SIGTERM"))
    return found
