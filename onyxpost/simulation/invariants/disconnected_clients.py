"""What is still sent on for a client that has closed or cancelled. Pure; times in ms."""

from __future__ import annotations

from onyxpost.simulation.invariants.records import RequestRecord, Violation

BEGUN = 100.0  # an attempt that begins so much later is counted
BORNE = 2  # such attempts in a run; with the next one the rule is broken
WAITED = 300.0  # a first attempt that begins so much later fails the run, if many do
SHARE, LEAST = 0.25, 5  # many: over this share of those that waited when their client went, and so many


class DisconnectedClients:
    def __init__(self, slack: float) -> None:
        self.slack = slack
        self.attempts = 0  # begun too late, first or further
        self.waited = 0  # reqs that still waited for their first attempt when their client went
        self.firsts: list[Violation] = []  # what was sent on of those, far too late

    def left(self, taken: RequestRecord) -> None:
        self.waited += not taken.sent

    def sent(self, taken: RequestRecord, first_byte: float, server: str) -> str:
        """Returns the violation, if any; called before the attempt is added to the request."""
        if taken.left_at is None:
            return ""
        after = first_byte - taken.left_at
        if not taken.sent and after > WAITED + self.slack:
            what = f"first sent on {after:.0f} ms after its client went"
            self.firsts.append(Violation("", first_byte, taken.node, taken.req, server, what))
        if after <= BEGUN + self.slack:
            return ""
        self.attempts += 1
        return f"begun {after:.0f} ms after its client went" if self.attempts > BORNE else ""

    def many_firsts(self) -> Violation | None:
        """The last one of them, where they are too many for the run."""
        late = len(self.firsts)
        if late < LEAST or late <= SHARE * self.waited:
            return None
        what = f"{late} of {self.waited} that waited; this one {self.firsts[-1].what}"
        return self.firsts[-1]._replace(what=what)
