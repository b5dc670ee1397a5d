"""A forwarder on the virtual clock: a gateway, its planner client, and an app server that answers at once."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Protocol

from onyxpost.core.customer_name import key_of_name
from onyxpost.core.events import (
    AttemptFinished,
    EndpointsUpdated,
    Event,
    LeaseGranted,
    LeaseRevoked,
    RequestArrived,
)
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import (
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    EndpointStatus,
    Frontend,
    GatewayLimits,
    Idempotency,
    SlowStartPolicy,
)
from onyxpost.edge.messages import RecordUnitsSpent, ReturnLease
from onyxpost.forwarder.planner_client import PlannerClient
from onyxpost.policy.gateway import Gateway

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.core.types import Plan
    from onyxpost.simulation.virtual_time import Network

SAFE_SHARE = 0.2
FRONTEND = Frontend(
    "f", 1000.0, 5000.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, 1.0, 0.0, 0.0, False
)


class ForwarderEnvironment(Protocol):
    """Interface of the cluster that a forwarder uses."""

    net: Network
    plan: Plan
    membership_version: int
    forwarders: list[ForwarderModel]

    def members(self) -> dict[str, Address]:
        """Returns the planners' addresses by name."""

    def count_sent(self, forwarder: ForwarderModel, customer: str, units: int) -> None:
        """Counts units that a forwarder has sent to its app server."""


class ForwarderModel:
    """A gateway and its planner client.

    The only app server answers at once, so that only rate limits reject requests.
    """

    def __init__(self, cluster: ForwarderEnvironment, index: int) -> None:
        self.cluster = cluster
        self.index = index
        self.name = f"f{index}"
        self.incarnation = 0
        self.is_alive = False
        self.request_count = 0
        self.final_answer = ""  # of the current request
        self.answers: Counter[str] = Counter()

    def start(self) -> None:
        cluster = self.cluster
        self.incarnation += 1
        self.is_alive = True
        self.request_count = 0
        transport = cluster.net.host(f"{self.name}.{self.incarnation}")
        self.host = transport.name
        self.clock = transport.clock
        options = GatewayOptions(
            seed=self.incarnation,
            node_index=self.index,
            node_count=len(cluster.forwarders) or 1,
            tick_ms=1.0,
            frontends=[FRONTEND],
            plans=[cluster.plan],
            slow_start=SlowStartPolicy(1.0, 0.0, 1.0, 1.0),
            limits=GatewayLimits(2, True, True, False, 500.0, 0.0, SAFE_SHARE),
            polls_endpoints=False,
        )
        self.gateway = Gateway(transport.clock(), options)
        self.client = PlannerClient(
            transport,
            self.name,
            cluster.members(),
            cluster.membership_version,
            self.post_event,
            lambda log: None,
        )
        self.client.start()
        self.handle(EndpointsUpdated(True, [EndpointStatus("s", "", 0, EndpointState.READY, 1.0, 0.0)]))

    def kill(self) -> None:
        self.is_alive = False
        self.client.close()
        self.cluster.net.kill_host(self.host)

    def restart(self) -> None:
        if self.is_alive:
            self.kill()
            self.start()

    def post_event(self, event: LeaseGranted | LeaseRevoked) -> None:
        self.handle(event)

    def handle(self, *events: Event) -> None:
        self.gateway.handle(self.clock(), events, self)

    def request(self, customer: str, units: int) -> None:
        """Handles one client request; its only final answer is counted when this returns."""
        self.request_count += 1
        self.final_answer = ""
        request_id = f"{self.incarnation}.{self.request_count}"
        node_count = len(self.cluster.forwarders)
        deadline = self.clock() + 5000.0
        self.handle(
            RequestArrived(request_id, deadline, "f", key_of_name(customer), "p", units, node_count, 0)
        )
        if self.final_answer == "sent":
            self.cluster.count_sent(self, customer, units)
            self.handle(AttemptFinished(request_id, 0, AttemptResult.OK, 1.0, True, 0))
            self.final_answer = "forwarded"
        self.answers[self.final_answer] += 1

    # DecisionSink

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, latest_start_at: float) -> None:
        self.final_answer = "sent"

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        self.final_answer += "rejected"

    def abort(self, request_id: str) -> None:
        self.final_answer += "aborted"

    def record_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        self.client.record_units_spent(RecordUnitsSpent(customer, plan, units, lease))

    def return_lease(self, lease: int, units: int) -> None:
        self.client.return_lease(ReturnLease(lease, units))

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None: ...
    def send_peer_message(self, peer: int, body: str) -> None: ...
    def start_timer(self, delay_ms: float, token: int) -> None: ...
    def log(self, line: str) -> None: ...
    def watch_endpoints(self) -> None: ...
