"""The entry point of the decision code: builds its components and dispatches events to them."""

from collections.abc import Iterable

from onyxpost.core import events as event_types
from onyxpost.core.customer_table import CustomerTable
from onyxpost.core.event_dispatcher import EventDispatcher
from onyxpost.core.node_state import NodeState
from onyxpost.core.options import GatewayOptions
from onyxpost.core.seeded_random import SeededRandom
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.gossip_schedule import GossipScheduler
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.node_timer import NodeTimer
from onyxpost.policy.possible_execution import ExecutionSafety
from onyxpost.policy.quota_control import QuotaControl
from onyxpost.policy.request_handling import RequestHandling
from onyxpost.policy.server_selection import ServerSelection


class Gateway:
    """Makes all decisions of one incarnation of an edge node.

    Attributes:
        state: requests, customers, servers and routing rules of this node.
        random: the only source of random numbers, so that equal seeds give equal decisions.
        execution: decides which requests are possibly executed.
        shedder: controls the rejection probability.
        quota_control: the components that enforce and report customers' quotas.
        selection: the components that select a server for each attempt.
        handling: the components that handle requests from arrival to end.
        gossip_scheduler: sends and receives gossip.
        dispatcher: calls the handlers of each event type.
    """

    def __init__(self, now: float, options: GatewayOptions) -> None:
        self.state = NodeState(options, CustomerTable(now), ServerRegistry(), {})
        self.random = SeededRandom(options.seed)
        self.execution = ExecutionSafety()
        self.shedder = LatencyLoadShedder(now, self.random)
        self.quota_control = QuotaControl(self.state)
        self.selection = ServerSelection(now, self.state, self.random, self.shedder, self.execution)
        self.handling = RequestHandling(
            self.state, self.random, self.shedder, self.execution, self.quota_control, self.selection
        )
        first_send_at = now + GossipScheduler.GOSSIP_INTERVAL_MS * self.random.next()
        self.gossip_scheduler = GossipScheduler(first_send_at, self.quota_control, self.handling.admission)
        self._timer = NodeTimer()
        self._is_started = False
        self.dispatcher = EventDispatcher()
        self._register_handlers()

    def _register_handlers(self) -> None:
        """Registers the handlers of each event type; handlers of one type run in the order given here."""
        register = self.dispatcher.register
        endpoints = self.selection.endpoints
        stale_endpoints = self.selection.stale_endpoints
        handling = self.handling
        leases = self.quota_control.leases
        register(
            event_types.EndpointsUpdated,
            endpoints.on_endpoints_updated,
            stale_endpoints.on_endpoints_updated,
        )
        register(event_types.EndpointPollFailed, endpoints.on_endpoint_poll_failed)
        register(event_types.EndpointsStale, stale_endpoints.on_endpoints_stale)
        register(
            event_types.RequestArrived,
            self.shedder.on_request_arrived,
            handling.retry_budget.on_request_arrived,
            handling.admission.on_request_arrived,
        )
        register(event_types.RequestCancelled, handling.completion.on_request_cancelled)
        register(event_types.ResponseStarted, handling.completion.on_response_started)
        register(event_types.AttemptFinished, handling.results.on_attempt_finished)
        register(event_types.LeaseGranted, leases.on_lease_granted)
        register(event_types.LeaseRevoked, leases.on_lease_revoked)
        register(event_types.CustomerLimitChanged, self.quota_control.quota_policy.on_customer_limit_changed)
        register(event_types.RoutingRulesChanged, handling.constraints.on_routing_rules_changed)
        register(event_types.PeerMessageReceived, self.gossip_scheduler.on_peer_message)
        register(
            event_types.TimerFired,
            self._timer.on_timer,
            self.selection.assessment.on_timer,
            handling.admission.on_timer,
            self.selection.concurrency.on_timer,
            self.shedder.on_timer,
            self.gossip_scheduler.on_timer,
        )

    def handle(self, now: float, events: Iterable[event_types.Event], sink: DecisionSink) -> None:
        """Handles events in their order of arrival.

        Args:
            now: the host's time, in ms.
            events: the events that have arrived since the last call.
            sink: carries out the decisions.
        """
        if not self._is_started:
            self._is_started = True
            self._timer.start(sink)
            self.selection.endpoints.start(sink)
        for event in events:
            self.dispatcher.dispatch(now, event, sink)
