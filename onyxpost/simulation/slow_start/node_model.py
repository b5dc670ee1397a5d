"""A model of a node, which runs a gateway and sends its attempts to the server models."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from onyxpost.core.customer_name import key_of_name
from onyxpost.core.events import AttemptFinished, EndpointsUpdated, Event, RequestArrived, TimerFired
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import (
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    Frontend,
    GatewayLimits,
    Idempotency,
    Plan,
)
from onyxpost.policy.gateway import Gateway

if TYPE_CHECKING:
    from random import Random

    from onyxpost.simulation.discrete_event.event_queue import EventQueue
    from onyxpost.simulation.slow_start.case import SlowStartCase
    from onyxpost.simulation.slow_start.server_model import ServerModel

CLIENT_TIMEOUT_MS = 5000.0
FRONTEND = Frontend(
    "f", 1000.0, CLIENT_TIMEOUT_MS, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, 1.0, 0.0, 0.0, False
)
PLAN = Plan("p", 0.0, 0.0, 0, 1.0, 0.0, 0.0)  # without a quota
LIMITS = GatewayLimits(2, False, False, False, 500.0, 0.0)
TICK_MS = 2.0
CUSTOMERS = 2000
GATEWAY_SEED_BITS = 48


class Environment(Protocol):
    """The part of the emulation that a node uses."""

    case: SlowStartCase
    events: EventQueue
    rng: Random

    def unix_time_ms(self) -> float:
        """Returns the time that is passed to the gateways."""
        ...

    def draw_work_ms(self) -> float:
        """Draws the work of an attempt: the time that a warm server needs for it."""
        ...

    def count_served_in_time(self) -> None:
        """Counts a request that was answered within the latency objective."""


class NodeModel:
    """A node with one gateway, whose `DecisionSink` it is. A restart replaces the gateway by a new one."""

    def __init__(self, environment: Environment, index: int, servers: list[ServerModel]) -> None:
        self.environment = environment
        self.index = index
        self.incarnation = 0
        self.servers = {server.id: server for server in servers}
        self._request_count = 0
        self.gateway: Gateway
        self.restart()

    def restart(self) -> None:
        """Starts a new gateway, whose only state is the list of current servers."""
        self.incarnation += 1
        case = self.environment.case
        options = GatewayOptions(
            seed=self.environment.rng.getrandbits(GATEWAY_SEED_BITS),
            node_index=self.index,
            node_count=case.nodes,
            tick_ms=TICK_MS,
            frontends=[FRONTEND],
            plans=[PLAN],
            slow_start=case.policy,
            limits=LIMITS,
            polls_endpoints=False,
        )
        self.gateway = Gateway(self.environment.unix_time_ms(), options)
        self._handle(EndpointsUpdated(True, [server.status() for server in self.servers.values()]))

    def update_endpoints(self, servers: list[ServerModel]) -> None:
        """Notifies the gateway of servers that are new or gone."""
        self.servers |= {server.id: server for server in servers}
        self._handle(EndpointsUpdated(False, [server.status() for server in servers]))
        self.servers = {
            server_id: server
            for server_id, server in self.servers.items()
            if server.state is EndpointState.READY
        }

    def receive_request(self) -> None:
        """Passes a request of a random customer to the gateway."""
        self._request_count += 1
        customer = key_of_name(f"c{self.environment.rng.randrange(CUSTOMERS)}")
        deadline_ms = self.environment.unix_time_ms() + CLIENT_TIMEOUT_MS
        node_count = self.environment.case.nodes
        request_id = f"{self._request_count}"
        self._handle(
            RequestArrived(request_id, deadline_ms, FRONTEND.name, customer, PLAN.name, 1, node_count, 0)
        )

    # The gateway's decisions

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, latest_start_at: float) -> None:  # noqa: ARG002 - an attempt begins at once
        """Sends an attempt to a server model; its result is known at once, and reported when it is due."""
        now_ms = self.environment.events.now_ms
        attempt_index = len(self.gateway.state.requests[request_id].attempts) - 1
        latency_ms = self.servers[server].receive(now_ms, self.environment.draw_work_ms()) - now_ms
        result = AttemptResult.OK if latency_ms <= timeout_ms else AttemptResult.EXPIRED
        latency_ms = min(latency_ms, timeout_ms)
        finished = AttemptFinished(
            request_id, attempt_index, result, latency_ms, result is AttemptResult.OK, 0
        )
        self.environment.events.call_after(latency_ms, self._finish_attempt, self.incarnation, finished)

    def start_timer(self, delay_ms: float, token: int) -> None:  # noqa: ARG002 - the gateway starts one timer
        """Starts the only timer of the gateway."""
        self.environment.events.call_after(delay_ms, self._fire_timer, self.incarnation)

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Ignored: rejected requests are not counted."""

    def abort(self, request_id: str) -> None:
        """Ignored: aborted requests are not counted."""

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Ignored: the server model has already counted the attempt."""

    def send_peer_message(self, peer: int, body: str) -> None:
        """Ignored: peer messages are not emulated."""

    def log(self, line: str) -> None:
        """Ignored: the log is not part of the results."""

    def watch_endpoints(self) -> None:
        """Ignored: the emulation notifies every node of endpoint updates."""

    def record_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        """Ignored: there are no planners."""

    def return_lease(self, lease: int, units: int) -> None:
        """Ignored: there are no planners."""

    # Events

    def _finish_attempt(self, incarnation: int, finished: AttemptFinished) -> None:
        if incarnation == self.incarnation:
            is_ok = finished.result is AttemptResult.OK
            if is_ok and finished.latency_ms <= FRONTEND.latency_objective_ms:
                self.environment.count_served_in_time()
            self._handle(finished)

    def _fire_timer(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self._handle(TimerFired(0))

    def _handle(self, event: Event) -> None:
        self.gateway.handle(self.environment.unix_time_ms(), [event], self)
