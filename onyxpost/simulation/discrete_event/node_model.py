"""An edge node that runs the real decision code over simulated connections and messages."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from onyxpost.core.customer_name import key_of_name
from onyxpost.core.events import (
    AttemptFinished,
    EndpointsUpdated,
    Event,
    PeerMessageReceived,
    RequestArrived,
    RequestCancelled,
    TimerFired,
)
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import AttemptResult, EndpointState, EndpointStatus
from onyxpost.policy.gateway import Gateway
from onyxpost.simulation.discrete_event.connection_pool import ConnectionPool
from onyxpost.simulation.discrete_event.decision_sink import NodeDecisionSink
from onyxpost.simulation.discrete_event.endpoint_updates import EndpointUpdates
from onyxpost.simulation.discrete_event.message_rate_limit import MessageRateLimit
from onyxpost.simulation.discrete_event.outcomes import Outcome
from onyxpost.simulation.discrete_event.pending_requests import PendingRequests
from onyxpost.simulation.virtual_time import START_UNIX_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.discrete_event.attempts import AttemptInFlight
    from onyxpost.simulation.discrete_event.environment import Environment
    from onyxpost.simulation.discrete_event.outcomes import OutcomeCallback
    from onyxpost.simulation.discrete_event.planner_model import PlannerModel
    from onyxpost.simulation.discrete_event.server_model import ServerModel
    from onyxpost.simulation.discrete_event.workload import ClientRequest

TICK_MS = 2.0  # resolution of the gateway's timers
SEED_BITS = 48  # size of the seed of a gateway


class NodeModel:
    """One edge node, which hosts a new gateway in each of its incarnations.

    Attributes:
        incarnation: number of starts so far.
        connections: idle connections to servers.
        endpoints: endpoints that the node knows.
        pending: requests that are unanswered or have attempts in flight.
        peer_rate_limit: limits the gossip messages that the node receives.
    """

    def __init__(
        self, environment: Environment, planners: PlannerModel | None, node_index: int, zone: int
    ) -> None:
        self._environment = environment
        self._clock = environment.clock
        self._invariants = environment.invariants
        self._planners = planners
        self._rng = Random(f"{environment.seed}/node/{node_index}")
        self._gateway: Gateway | None = None
        self._sink = NodeDecisionSink(environment, self, planners)
        self._received_requests = 0
        self.node_index = node_index
        self.name = f"n{node_index}"
        self.zone = zone
        self.incarnation = 0
        self.is_alive = False
        self.endpoints = EndpointUpdates(self._clock, self)
        self.connections = ConnectionPool(
            self._clock, self.endpoints.known_servers, environment.scenario.cluster.keep_alive_ms
        )
        self.pending = PendingRequests(environment, self.name)
        self.peer_rate_limit = MessageRateLimit(
            self._clock, environment.scenario.network.peer_messages_per_second
        )

    def set_peers(self, peers: Sequence[NodeModel]) -> None:
        """Sets all nodes of the deployment, in the order of their index."""
        self._sink.set_peers(peers)

    # Process

    def start(self) -> None:
        """Starts a new incarnation, which keeps only the known endpoints of the previous one."""
        self.incarnation += 1
        self.is_alive = True
        if self._planners is not None:
            self._planners.on_node_started(self)
        self._gateway = Gateway(self._now(), self._gateway_options())
        statuses = self.endpoints.statuses
        self.handle(EndpointsUpdated(True, list(statuses.values())))
        for server_id, status in statuses.items():
            self._invariants.endpoint_notified(self.name, server_id, status.state)

    def _gateway_options(self) -> GatewayOptions:
        environment = self._environment
        return GatewayOptions(
            seed=self._rng.getrandbits(SEED_BITS),
            node_index=self.node_index,
            node_count=environment.scenario.cluster.nodes,
            tick_ms=TICK_MS,
            frontends=environment.frontends,
            plans=environment.plans,
            slow_start=environment.slow_start,
            limits=environment.scenario.gateway_limits(),
            polls_endpoints=False,
        )

    def kill(self) -> None:
        """Kills the process; its clients see their connections close."""
        self.is_alive = False
        for attempt in self.pending.in_flight_attempts():
            if not attempt.is_finished:
                attempt.release()
        self.connections.close_all()
        self._invariants.node_killed(self.name)
        for pending in self.pending.remove_all():
            if not pending.is_finished:
                pending.on_outcome(Outcome.NODE_DOWN, 0.0)

    def _now(self) -> float:
        return START_UNIX_MS + self._clock.now_ms

    def handle(self, *events: Event) -> None:
        """Passes events to the gateway, and then the events that its decisions caused."""
        gateway = self._gateway
        assert gateway is not None, "the node was not started"
        gateway.handle(self._now(), events, self._sink)
        while deferred := self._sink.take_deferred_events():
            gateway.handle(self._now(), deferred, self._sink)

    # Clients

    def receive_request(self, request: ClientRequest, on_outcome: OutcomeCallback) -> str:
        """Handles a try of a client's request; returns its id.

        `on_outcome` receives the final answer; it may be called before this returns.
        """
        self._received_requests += 1
        request_id = f"{self.incarnation}.{self._received_requests}"
        pending = self.pending.add(request_id, request, on_outcome)
        customer = request.customer
        event = RequestArrived(
            request_id,
            START_UNIX_MS + pending.deadline_ms,
            request.frontend.name,
            key_of_name(customer.key),
            customer.plan.name,
            request.units,
            customer.node_count,
            customer.first_node_index,
        )
        self.handle(event)
        return request_id

    def disconnect_client(self, request_id: str) -> None:
        """Notifies the gateway that the client of a request has disconnected."""
        pending = self.pending.get(request_id)
        if pending is not None and not pending.is_finished and self.is_alive:
            self.pending.finish_without_answer(pending)
            self.handle(RequestCancelled(request_id))
            self.pending.remove_if_complete(pending)

    # Attempts

    def on_attempt_sent(self, attempt: AttemptInFlight) -> None:
        """Handles that the last byte of an attempt arrived at its server."""
        self.pending.record_sent(attempt)

    def on_attempt_ended(self, attempt: AttemptInFlight, result: AttemptResult) -> None:
        """Answers the request if the attempt succeeded, and notifies the gateway of the result."""
        pending = attempt.request
        was_finished = pending.is_finished
        self.pending.record_end(attempt, result)
        if result is AttemptResult.OK and not was_finished:
            self.pending.answer(pending, Outcome.SUCCEEDED, 0.0)
        is_answered = was_finished or result is AttemptResult.OK
        self.handle(self._attempt_finished(attempt, result, is_answered))
        self.pending.remove_if_complete(pending)

    def on_attempt_cancelled(self, attempt: AttemptInFlight, result: AttemptResult) -> None:
        """Notifies the gateway of the attempt that it cancelled, after the events that it is handling."""
        self.pending.record_end(attempt, result)
        self._sink.defer(self._attempt_finished(attempt, result, attempt.request.is_finished))

    def _attempt_finished(
        self, attempt: AttemptInFlight, result: AttemptResult, is_answered: bool
    ) -> AttemptFinished:
        duration_ms = self._clock.now_ms - attempt.started_at_ms
        request_id = attempt.request.request_id
        return AttemptFinished(request_id, attempt.index, result, duration_ms, is_answered, 0)

    # Peers, discovery and timers

    def receive_peer_message(self, sender: int, body: str) -> None:
        """Handles a gossip message of another node, unless the rate limit drops the message."""
        if self.is_alive and self.peer_rate_limit.accept():
            self.handle(PeerMessageReceived(sender, body))

    def on_server_died(self, server_id: str) -> None:
        """Removes the connections to a server that died."""
        self.connections.remove_server(server_id)

    def on_endpoint_changed(self, server: ServerModel, delay_ms: float) -> None:
        """Schedules the delivery of a changed endpoint after a delay."""
        self.endpoints.schedule(server, delay_ms)

    def receive_endpoint_update(self, statuses: list[EndpointStatus]) -> None:
        """Notifies the gateway of endpoints that changed, and removes connections to those that are gone."""
        for status in statuses:
            self._invariants.endpoint_notified(self.name, status.server, status.state)
            if status.state is EndpointState.GONE:
                self.connections.remove_server(status.server)
        self.handle(EndpointsUpdated(False, statuses))

    def on_timer(self, incarnation: int, token: int) -> None:
        """Notifies the gateway of a timer; a timer of an earlier incarnation is ignored."""
        if self.is_alive and incarnation == self.incarnation:
            self.handle(TimerFired(token))
