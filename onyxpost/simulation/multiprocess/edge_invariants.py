"""The rules as they can be seen from outside: at clients, at relays and at app servers. Pure.

What a node sent is judged as its relay took it; what ran, as it reached the app server. The order within
`CROSSING` ms of an answer is not known: two sockets are read in any order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from onyxpost.core.types import (
    DeduplicationScope,
    EndpointState,
    Frontend,
    Idempotency,
    Plan,
    SlowStartPolicy,
)
from onyxpost.simulation.invariants import AttemptRecord, Invariant, InvariantChecker
from onyxpost.simulation.multiprocess.checker import Away, Event, Found, Late

SLACK = 50.0  # ms past a client timeout
CROSSING = 30.0  # ms
ACCEPTS = 400.0  # ms after SIGTERM in which clients still come


class Edge:
    """One run's judge, by the deployment that its nodes were told."""

    def __init__(
        self,
        frontends: Iterable[Frontend],
        plans: Iterable[Plan],
        cold: SlowStartPolicy,
        grace: float,
        largest: int,
    ) -> None:
        self.frontends = {f.name: f for f in frontends}
        self.plans, self.cold, self.grace, self.largest = list(plans), cold, grace, largest

    def __call__(self, events: Sequence[Event]) -> Found:
        away, late = Away(events), Late(events)
        lag = late.slack
        checker = InvariantChecker(
            drain_grace_ms=self.grace,
            slow_start=self.cold,
            plans=self.plans,
            tolerance_ms=SLACK + lag,
            max_request_units=self.largest,
        )
        told: dict[str, Event] = {}
        play: dict[str, Callable[[Event], None]] = {
            "asked": lambda e: self.asked(checker, told, away, late, e),
            "answered": lambda e: self.answered(checker, told, e),
            "sent": lambda e: self.sent(checker, told, e),
            "never ran": lambda e: self.never_ran(checker, told, e),
            "told": lambda e: checker.on_endpoint_notified(
                e["t"], e["node"], e["server"], EndpointState(e["standing"])
            ),
            "process": lambda e: self.process(checker, e),
            "gone": lambda e: self.gone(checker, told, e),
            "server": lambda e: checker.on_server_started(e["t"], e["server"], e["capacity"], e["call"]),
            "reached": lambda e: self.reached(checker, told, e),
        }
        moved = [
            (self.moment(e, away, late), i, e)
            for i, e in enumerate(events)
            if e["event"] in play and not (e["event"] == "told" and self.unheard(e, away))
        ]
        for t, _, event in sorted(moved, key=lambda one: one[:2]):
            checker.check_deadlines(t - CROSSING - lag)  # answers are read that much later
            play[event["event"]](event | {"t": t} if event["event"] == "told" else event)
        checker.finish(float("inf"))
        last = float(events[-1]["t"]) if events else 0.0
        found = [
            (
                violation.invariant.value,
                min(violation.at_ms, last),
                violation.node,
                f"req {violation.request_id} {violation.server}: {violation.description}",
            )
            for violation in checker.violations
        ]
        return found + self.outside(events, told, away, late) + self.ran(events, told)

    def moment(self, event: Event, away: Away, late: Late) -> float:
        t = float(event["t"])
        if event["event"] == "told":
            t = away.back(event["node"], t)
            return t + late.within(event["node"], t, t + self.grace + SLACK)
        return t + CROSSING + late.slack if event["event"] in ("answered", "gone") else t

    def asked(
        self, checker: InvariantChecker, told: dict[str, Event], away: Away, late: Late, e: Event
    ) -> None:
        told[e["trace"]] = e
        f = self.frontends[e["frontend"]]
        leaves = e["t"] + f.client_timeout_ms
        checker.on_request_received(e["t"], e["node"], e["trace"], f, e["customer"], e["units"], leaves)
        if away.within(e["node"], e["t"], leaves + SLACK) or late.within(e["node"], e["t"], leaves + SLACK):
            checker.excuse_answer(e["node"], e["trace"])  # nothing is owed in time by who does not run

    def answered(self, checker: InvariantChecker, told: dict[str, Event], e: Event) -> None:
        asked = told[e["trace"]]
        checker.on_final_answer(e["t"], asked["node"], e["trace"], e["final"])

    def sent(self, checker: InvariantChecker, told: dict[str, Event], e: Event) -> None:
        asked = told.get(e["trace"])
        if asked is not None:  # else of an earlier run
            attempt = AttemptRecord(
                e["node"], e["trace"], e["server"], e["t"], e["t"], e["zone"], e["cell"], asked["plan"]
            )
            checker.on_attempt_sent(attempt)

    def never_ran(self, checker: InvariantChecker, told: dict[str, Event], e: Event) -> None:
        asked = told.get(e["trace"])
        taken = checker.history.get(asked["node"], e["trace"]) if asked is not None else None
        for number, sent in enumerate(taken.attempts if taken is not None else ()):
            if sent.server == e["server"] and sent.is_possibly_executed:
                checker.on_attempt_ended(
                    e["t"], taken.node if taken is not None else "", e["trace"], number, True
                )
                return

    def process(self, checker: InvariantChecker, e: Event) -> None:
        if e["what"] in ("killed", "crashed", "left"):
            checker.on_node_killed(e["t"], e["node"])

    def gone(self, checker: InvariantChecker, told: dict[str, Event], e: Event) -> None:
        """Cut or timed out: judged in `outside`, and by the client timeout. One that left is gone."""
        if e["how"] == "left":
            checker.on_client_disconnected(e["t"], told[e["trace"]]["node"], e["trace"])
        elif e["how"] != "timed out":
            checker.excuse_answer(told[e["trace"]]["node"], e["trace"])

    def reached(self, checker: InvariantChecker, told: dict[str, Event], e: Event) -> None:
        asked = told.get(e["trace"])
        node = asked["node"] if asked else ""
        checker.on_work_received(e["t"], e["server"], e["work"], node, e["trace"])
        checker.on_call_received(e["t"], e["server"], node, e["trace"])

    def unheard(self, e: Event, away: Away) -> bool:
        return any(a <= e["t"] <= b for a, b in away.dead.get(e["node"], ()))

    def outside(self, events: Sequence[Event], told: dict[str, Event], away: Away, late: Late) -> Found:
        """Connections that ended without an answer or brought more than one; those not taken at all."""
        found: Found = []
        for e in events:
            if e["event"] == "more":
                found.append(
                    (Invariant.ANSWERS, e["t"], told[e["trace"]]["node"], f"req {e['trace']}: {e['what']}")
                )
            if e["event"] not in ("gone", "refused") or e.get("how") in ("timed out", "left"):
                continue
            asked = told[e["trace"]] if e["event"] == "gone" else e
            node, begin = asked["node"], float(asked["t"])
            lag = late.slack + late.within(node, begin - ACCEPTS, float(e["t"]))
            leaving = any(a + ACCEPTS - lag <= begin <= b for a, b in away.leaving.get(node, ()))
            if not leaving and not away.within(node, begin - lag, float(e["t"]) + lag):
                how = e.get("how", "refused")
                found.append((Invariant.ANSWERS, e["t"], node, f"req {e['trace']}: {how} without an answer"))
        return found

    def ran(self, events: Sequence[Event], told: dict[str, Event]) -> Found:
        """At the app servers: what must not run twice; what may, only within its group."""
        found: Found = []
        never = {(e["trace"], e["server"], e["number"]) for e in events if e["event"] == "never ran"}
        first: dict[str, Event] = {}
        for e in events:
            if e["event"] != "reached" or (e["trace"], e["server"], e["number"]) in never:
                continue
            before, asked = first.setdefault(e["trace"], e), told.get(e["trace"])
            f = self.frontends[asked["frontend"]] if asked is not None else None
            if before is e or f is None or f.idempotency is Idempotency.IDEMPOTENT:
                continue
            inside = (
                f.deduplication_scope is DeduplicationScope.ALL
                or e[f.deduplication_scope.value] == before[f.deduplication_scope.value]
            )
            if f.idempotency is Idempotency.NON_IDEMPOTENT or not inside:
                what = f"req {e['trace']} ran at {before['server']} and again at {e['server']}"
                found.append((Invariant.IDEMPOTENCY, e["t"], asked["node"] if asked else "", what))
        return found
