"""Carries out the decisions of a node's gateway in the simulation."""

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


class DecidingNode(AttemptOwner, PeerNode, Forwarder, Protocol):
    """The node whose gateway decides."""

    endpoints: EndpointUpdates
    pending: PendingRequests

    def on_timer(self, incarnation: int, token: int) -> None:
        """A timer of this incarnation of the node has fired."""


class NodeDecisionSink:
    """Implements `DecisionSink` for one node."""

    def __init__(self, environment: Environment, node: DecidingNode, planners: PlannerModel | None) -> None:
        self._environment = environment
        self._node = node
        self._planners = planners
        self._peers: Sequence[PeerNode] = ()
        self._deferred_events: list[Event] = []

    def set_peers(self, peers: Sequence[PeerNode]) -> None:
        """Sets all nodes, by their index."""
        self._peers = peers

    def defer(self, event: Event) -> None:
        """Keeps an event that a decision caused until the gateway has handled those before."""
        self._deferred_events.append(event)

    def take_deferred_events(self) -> list[Event]:
        """Returns the deferred events, and keeps none."""
        deferred = self._deferred_events
        self._deferred_events = []
        return deferred

    # Requests

    def start_attempt(self, request_id: str, server: str, timeout: float, latest_start_at: float) -> None:  # noqa: ARG002 - simulated attempts begin at once
        """Starts an attempt, or ends it at once if its server is not known or no time is left."""
        pending = self._node.pending[request_id]
        server_model = self._node.endpoints.known_servers.get(server)
        timeout_ms = min(timeout, pending.deadline_ms - self._environment.clock.now_ms)
        if server_model is None or pending.is_finished or timeout_ms <= 0.0:
            index = len(pending.attempts)
            pending.attempts.append(None)
            self.defer(AttemptFinished(request_id, index, AttemptResult.UNUSED, 0.0, pending.is_finished, 0))
            return
        attempt = AttemptInFlight(self._environment, self._node, pending, server_model)
        pending.attempts.append(attempt)
        self._environment.metrics.count(ATTEMPTS)
        attempt.start(timeout_ms)

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Cancels an attempt that has not ended."""
        pending = self._node.pending.get(request_id)
        if pending is None or attempt_index >= len(pending.attempts):
            return
        attempt = pending.attempts[attempt_index]
        if attempt is not None:
            attempt.cancel()

    def reject(self, request_id: str, retry_after: float) -> None:
        """Answers that the request was not executed and may be sent again after the given time in ms."""
        self._answer(request_id, Outcome.REJECTED, retry_after)

    def abort(self, request_id: str) -> None:
        """Answers that the request failed and may have been executed."""
        self._answer(request_id, Outcome.ABORTED, 0.0)

    def _answer(self, request_id: str, outcome: Outcome, retry_after_ms: float) -> None:
        requests = self._node.pending
        if pending := requests.get(request_id):
            requests.answer(pending, outcome, retry_after_ms)
            requests.remove_if_complete(pending)

    # Messages, timers and leases

    def send_peer_message(self, peer: int, body: str) -> None:
        """Sends a message to another node."""
        self._environment.network.send_peer_message(self._node, self._peers[peer], body)

    def start_timer(self, delay: float, token: int) -> None:
        """Fires a timer after `delay` ms, unless the node dies before."""
        node = self._node
        self._environment.clock.call_after(delay, node.on_timer, node.incarnation, token)

    def log(self, line: str) -> None:
        """Counts a change of mode."""
        self._environment.metrics.count_mode_change(line)

    def watch_endpoints(self) -> None:
        """Does nothing: endpoint updates are pushed."""

    def report_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        """Reports spent units to the planners, if there are any."""
        if self._planners is not None:
            self._planners.report_units_spent(self._node, customer, plan, units, lease)

    def return_lease(self, lease: int, units: int) -> None:
        """Returns a lease to the planners, if there are any."""
        if self._planners is not None:
            self._planners.return_lease(self._node, lease, units)
