"""Carries out the decisions of a simulated node's gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from onyxpost.core.events import AttemptFinished, Event
from onyxpost.core.types import AttemptResult
from onyxpost.simulation.discrete_event.attempts import AttemptInFlight, AttemptOwner
from onyxpost.simulation.discrete_event.metrics import ATTEMPTS
from onyxpost.simulation.discrete_event.network import PeerNode
from onyxpost.simulation.discrete_event.outcomes import Outcome
from onyxpost.simulation.discrete_event.planner_model import Forwarder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.discrete_event.endpoint_updates import EndpointUpdates
    from onyxpost.simulation.discrete_event.environment import Environment
    from onyxpost.simulation.discrete_event.pending_requests import PendingRequests
    from onyxpost.simulation.discrete_event.planner_model import PlannerModel


class GatewayNode(AttemptOwner, PeerNode, Forwarder, Protocol):
    """The node whose gateway makes the decisions."""

    endpoints: EndpointUpdates
    pending: PendingRequests

    def on_timer(self, incarnation: int, token: int) -> None:
        """Handles a timer that was started in the given incarnation of the node."""


class NodeDecisionSink:
    """Implements `DecisionSink` for one node."""

    def __init__(self, environment: Environment, node: GatewayNode, planners: PlannerModel | None) -> None:
        self._environment = environment
        self._node = node
        self._planners = planners
        self._peers: Sequence[PeerNode] = ()
        self._deferred_events: list[Event] = []

    def set_peers(self, peers: Sequence[PeerNode]) -> None:
        """Sets all nodes of the deployment, in the order of their index."""
        self._peers = peers

    def defer(self, event: Event) -> None:
        """Queues an event that a decision caused until the gateway has handled the current events."""
        self._deferred_events.append(event)

    def take_deferred_events(self) -> list[Event]:
        """Removes and returns the deferred events."""
        deferred = self._deferred_events
        self._deferred_events = []
        return deferred

    # Requests

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, latest_start_at: float) -> None:  # noqa: ARG002 - simulated attempts are sent without a delay
        """Starts an attempt.

        The attempt ends unused if its server is unknown, or its request is finished or past its deadline.
        """
        pending = self._node.pending[request_id]
        server_model = self._node.endpoints.known_servers.get(server)
        attempt_timeout_ms = min(timeout_ms, pending.deadline_ms - self._environment.clock.now_ms)
        if server_model is None or pending.is_finished or attempt_timeout_ms <= 0.0:
            index = len(pending.attempts)
            pending.attempts.append(None)
            self.defer(AttemptFinished(request_id, index, AttemptResult.UNUSED, 0.0, pending.is_finished, 0))
            return
        attempt = AttemptInFlight(self._environment, self._node, pending, server_model)
        pending.attempts.append(attempt)
        self._environment.metrics.count(ATTEMPTS)
        attempt.start(attempt_timeout_ms)

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Cancels an attempt; does nothing if the attempt has ended."""
        pending = self._node.pending.get(request_id)
        if pending is None or attempt_index >= len(pending.attempts):
            return
        attempt = pending.attempts[attempt_index]
        if attempt is not None:
            attempt.cancel()

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Answers that the request was not executed and may be sent again after the given time in ms."""
        self._answer(request_id, Outcome.REJECTED, retry_after_ms)

    def abort(self, request_id: str) -> None:
        """Answers that the request failed and may have been executed."""
        self._answer(request_id, Outcome.ABORTED, 0.0)

    def _answer(self, request_id: str, outcome: Outcome, retry_after_ms: float) -> None:
        pending_requests = self._node.pending
        if pending := pending_requests.get(request_id):
            pending_requests.answer(pending, outcome, retry_after_ms)
            pending_requests.remove_if_complete(pending)

    # Messages, timers and leases

    def send_peer_message(self, peer: int, body: str) -> None:
        """Sends a message to another node."""
        self._environment.network.send_peer_message(self._node, self._peers[peer], body)

    def start_timer(self, delay_ms: float, token: int) -> None:
        """Fires a timer after `delay_ms`, unless the node's incarnation ends first."""
        node = self._node
        self._environment.clock.call_after(delay_ms, node.on_timer, node.incarnation, token)

    def log(self, line: str) -> None:
        """Counts the log line by its kind."""
        self._environment.metrics.count_mode_change(line)

    def watch_endpoints(self) -> None:
        """Does nothing, as simulated endpoint updates are pushed to the nodes."""

    def record_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        """Reports spent units to the planners, if the scenario has any."""
        if self._planners is not None:
            self._planners.record_units_spent(self._node, customer, plan, units, lease)

    def return_lease(self, lease: int, units: int) -> None:
        """Returns a lease to the planners, if the scenario has any."""
        if self._planners is not None:
            self._planners.return_lease(self._node, lease, units)
