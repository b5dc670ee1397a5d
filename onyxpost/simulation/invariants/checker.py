"""The rules, checked after every step by whoever hosts a node: emulator, virtual clock or sockets.

No I/O and no clock. The host tells what happened, at its own time in ms; a broken rule becomes a `Violation`
that names the rule, req, node, server and time. What a node could know and what was so are both told: the
rules on effects and drains go by what the node was told, or counts as told, those on cold servers by what
reached the server.
"""

from __future__ import annotations

from collections.abc import Iterable

from onyxpost.core.types import (
    DeduplicationScope,
    EndpointState,
    Frontend,
    Idempotency,
    Plan,
    SlowStartPolicy,
)
from onyxpost.simulation.invariants.disconnected_clients import DisconnectedClients
from onyxpost.simulation.invariants.endpoint_knowledge import COUNTS, EndpointKnowledge
from onyxpost.simulation.invariants.records import (
    ANSWERS,
    CEILINGS,
    COLD,
    COLD_SUM,
    DRAINS,
    EFFECTS,
    FINALS,
    GONE,
    GONE_FIRSTS,
    TOLD,
    AttemptRecord,
    Bucket,
    RequestRecord,
    Violation,
)
from onyxpost.simulation.invariants.slow_start import WarmingServer


class InvariantChecker:
    def __init__(
        self,
        *,
        grace: float,
        cold: SlowStartPolicy,
        plans: Iterable[Plan],
        slack: float = 0.0,
        ceiling_slack: float = 0.1,
        largest: int = 1,
    ) -> None:
        self.grace, self.cold_rule, self.slack = grace, cold, slack
        self.plans = {plan.name: plan for plan in plans}
        self.ceiling_slack, self.largest = ceiling_slack, largest
        self.violations: list[Violation] = []
        self.requests: dict[tuple[str, str], RequestRecord] = {}
        self.unanswered: dict[tuple[str, str], RequestRecord] = {}
        self.endpoint_knowledge, self.disconnected_clients = EndpointKnowledge(), DisconnectedClients(slack)
        self.buckets: dict[str, Bucket] = {}
        self.warming_servers: dict[str, WarmingServer] = {}
        self.steps = 0

    def record_violation(self, rule: str, at: float, node: str, req: str, server: str, what: str) -> None:
        self.violations.append(Violation(rule, at, node, req, server, what))

    # What happens to reqs

    def on_request_received(
        self, at: float, node: str, req: str, frontend: Frontend, customer: str, units: int, leaves: float
    ) -> None:
        self.steps += 1
        self.requests[node, req] = self.unanswered[node, req] = RequestRecord(
            node, req, frontend, customer, units, leaves
        )

    def on_attempt_sent(
        self,
        at: float,
        node: str,
        req: str,
        server: str,
        zone: str = "",
        cell: int = 0,
        plan: str = "",
        began: float | None = None,
    ) -> None:
        """Its last byte is at the server; `began`: when its first byte left."""
        self.steps += 1
        first_byte = at if began is None else began
        told = self.endpoint_knowledge.not_to_send(node, server)
        if told is not None and first_byte > told.at + self.grace + self.slack:
            rule, how = (DRAINS, "it was") if told.heard else (TOLD, "its drain counted as")
            self.record_violation(
                rule, at, node, req, server, f"sent {first_byte - told.at:.0f} ms after {how} told"
            )
        taken = self.requests.get((node, req))
        if taken is None:
            self.record_violation(ANSWERS, at, node, req, server, "sent on, but no client asked")
            return
        if taken.final:
            self.record_violation(ANSWERS, at, node, req, server, f"sent on after it was {taken.final}")
        if what := self.disconnected_clients.sent(taken, first_byte, server):
            self.record_violation(GONE, at, node, req, server, what)
        self._effects(taken, at, server, zone, cell)
        if not taken.sent and plan:
            self._ceiling(taken, at, server, self.plans[plan])
        taken.sent.append(AttemptRecord(server, zone, cell, first_byte))

    def _effects(self, taken: RequestRecord, at: float, server: str, zone: str, cell: int) -> None:
        risky = next((sent for sent in taken.sent if sent.may_have_run), None)
        if risky is None or taken.frontend.idempotency is Idempotency.IDEMPOTENT:
            return
        node, req, f = taken.node, taken.req, taken.frontend
        if f.idempotency is Idempotency.NON_IDEMPOTENT:
            what = f"sent again though it may have run at {risky.server}"
            self.record_violation(EFFECTS, at, node, req, server, what)
            return
        here, there = (
            (zone, risky.zone) if f.deduplication_scope is DeduplicationScope.ZONE else (cell, risky.cell)
        )
        if f.deduplication_scope is not DeduplicationScope.ALL and here != there:
            self.record_violation(
                EFFECTS, at, node, req, server, f"sent again outside of the group of {risky.server}"
            )
        if at > risky.at + f.deduplication_window_ms + self.slack:
            late = at - risky.at - f.deduplication_window_ms
            self.record_violation(
                EFFECTS, at, node, req, server, f"sent again {late:.0f} ms past the repeat window"
            )

    def on_attempt_ended(self, at: float, node: str, req: str, number: int, never_ran: bool) -> None:
        """An attempt ended; `never_ran`: its end proved so. Numbered among those that reached a server."""
        self.steps += 1
        taken = self.requests.get((node, req))
        if taken is not None and number < len(taken.sent) and never_ran:
            taken.sent[number].may_have_run = False

    def on_final_answer(self, at: float, node: str, req: str, final: str) -> None:
        self.steps += 1
        taken = self.requests.get((node, req))
        if taken is None or final not in FINALS:
            self.record_violation(ANSWERS, at, node, req, "", f"{final}, but no client asked")
            return
        if taken.final:
            self.record_violation(ANSWERS, at, node, req, "", f"{final} after it was {taken.final}")
            return
        taken.final = final
        self.unanswered.pop((node, req), None)
        if not taken.left and at > taken.leaves + self.slack:
            self.record_violation(ANSWERS, at, node, req, "", f"{final} {at - taken.leaves:.0f} ms too late")
        risky = next((sent for sent in taken.sent if sent.may_have_run), None)
        f = taken.frontend
        harmless = f.idempotency is Idempotency.IDEMPOTENT or (
            f.idempotency is Idempotency.IDEMPOTENCY_KEY and f.deduplication_scope is DeduplicationScope.ALL
        )
        if final == "denied" and risky is not None and not harmless:
            self.record_violation(EFFECTS, at, node, req, risky.server, "denied though it may have run")

    def on_client_disconnected(self, at: float, node: str, req: str) -> None:
        """It closed or cancelled: no answer is owed, and nothing more is to be sent on."""
        self.steps += 1
        if taken := self.unanswered.pop((node, req), None):
            taken.left, taken.left_at = True, at
            self.disconnected_clients.left(taken)

    def excuse_answer(self, node: str, req: str) -> None:
        """No answer in time is owed any more, though its client may still wait."""
        if taken := self.unanswered.pop((node, req), None):
            taken.left = True

    def on_node_killed(self, at: float, node: str) -> None:
        """What it held is no longer its duty, and its next life is told anew."""
        for key in [key for key in self.unanswered if key[0] == node]:
            self.unanswered.pop(key).left = True
        self.endpoint_knowledge.died(node)

    def forget_request(self, node: str, req: str) -> None:
        """Nothing more can come of this req: a long run need not hold it."""
        self.requests.pop((node, req), None)

    def check_deadlines(self, now: float) -> None:
        """After a step: no one waits past their time."""
        for key, taken in list(self.unanswered.items()):
            if now > taken.leaves + self.slack:
                self.record_violation(
                    ANSWERS, now, taken.node, taken.req, "", "no answer by the client timeout"
                )
                taken.left = True
                del self.unanswered[key]

    def finish(self, now: float) -> None:
        """Once, at the end: also what is judged over the whole run."""
        self.check_deadlines(now)
        if (last := self.disconnected_clients.many_firsts()) is not None:
            self.violations.append(last._replace(rule=GONE_FIRSTS))

    # Servers

    def on_endpoint_notified(self, at: float, node: str, server: str, standing: EndpointState) -> None:
        self.steps += 1
        self.endpoint_knowledge.heard(at, node, server, standing)

    def on_discovery_updated(
        self, at: float, node: str, server: str, standing: EndpointState, within: float = COUNTS
    ) -> None:
        """The node could hear of it from now on, whatever becomes of its calls; counts `within` ms later."""
        self.steps += 1
        self.endpoint_knowledge.held(at, node, server, standing, within)

    def on_discovery_replaced(self, node: str) -> None:
        """What the node's new discovery has is to be told anew by `discovery_has`."""
        self.endpoint_knowledge.moved(node)

    def on_server_started(self, at: float, server: str, capacity: float, call: float = 1.0) -> None:
        """`capacity`: ms of work that it does in one ms when warm; `call`: ms of work of a usual call."""
        self.warming_servers[server] = WarmingServer(at, capacity, call)

    def on_server_removed(self, server: str) -> None:
        self.warming_servers.pop(server, None)

    def warming_server(self, at: float, server: str) -> WarmingServer | None:
        one = self.warming_servers.get(server)
        if one is not None and at - one.started >= self.cold_rule.warmup_ms:
            del self.warming_servers[server]
            return None
        return one

    def on_work_received(self, at: float, server: str, work: float, node: str = "", req: str = "") -> bool:
        """False: it was pushed over, by all nodes together; `work` in ms of a warm core."""
        self.steps += 1
        if (one := self.warming_server(at, server)) is None:
            return True
        one.work_came(self.cold_rule, at, work)
        able = one.able(self.cold_rule, at)
        if one.sum > able and not one.told:
            one.told = True
            self.record_violation(
                COLD, at, node, req, server, f"{one.sum:.0f} ms of work where {able:.0f} is the most"
            )
        return one.sum <= able

    def on_call_received(self, at: float, server: str, node: str, req: str) -> None:
        """The same for hosts whose servers get calls of like work: counted, with what chance adds."""
        self.steps += 1
        if (one := self.warming_server(at, server)) is None:
            return
        if what := one.call_came(self.cold_rule, at, self.endpoint_knowledge.of_start(at, node, server)):
            self.record_violation(COLD_SUM, at, node, req, server, what)

    def slow_start_load(self, server: str) -> float:
        """The part of the most that a cold server bears which reached it of late."""
        one = self.warming_servers.get(server)
        return one.sum / one.able(self.cold_rule, one.came[-1][0]) if one is not None and one.came else 0.0

    # Ceilings

    def _ceiling(self, taken: RequestRecord, at: float, server: str, plan: Plan) -> None:
        if not plan.hard_limit_rate:
            return
        bucket = self.buckets.get(taken.customer)
        if bucket is None:
            slack = max(self.ceiling_slack * plan.hard_limit_burst, self.largest)
            bucket = self.buckets[taken.customer] = Bucket(
                at, plan.hard_limit_rate, plan.hard_limit_burst, slack
            )
        if not bucket.draw(at, taken.units):
            over = -bucket.level
            what = f"customer {taken.customer} is {over:.1f} units past its ceiling"
            self.record_violation(CEILINGS, at, taken.node, taken.req, server, what)
