"""A host for one gateway that keeps the clock and records the decisions."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from onyxpost.core.customer_name import key_of_name
from onyxpost.core.events import AttemptFinished, EndpointsUpdated, Event, RequestArrived, TimerFired
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import (
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    EndpointStatus,
    Frontend,
    GatewayLimits,
    Idempotency,
    Plan,
    SlowStartPolicy,
)
from onyxpost.policy.gateway import Gateway

Decision = tuple[Any, ...]  # the kind of the decision and the arguments of the `DecisionSink` method


@dataclass(frozen=True)
class HostOptions:
    """Options of a host's gateway.

    Attributes:
        servers: number of app servers, all ready and warm.
        idempotency: idempotency of the frontend's requests.
        deduplication_scope: deduplication scope of the frontend's requests.
        late_weight: late weight of the frontend.
        polls_endpoints: whether the gateway must poll discovery.
        plan: the customers' plan; None for `DEFAULT_PLAN`, which hardly limits anything.
        node_index: index of this node.
        node_count: number of nodes.
        warmup_ms: time after its start at which a server has its full capacity.
    """

    servers: int = 4
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    late_weight: float = 0.0
    polls_endpoints: bool = False
    plan: Plan | None = None
    node_index: int = 0
    node_count: int = 3
    warmup_ms: float = 10000.0


OPTION_NAMES = {field.name for field in fields(HostOptions)}
DEFAULT_PLAN = Plan("p", 1000.0, 9000.0, 0, 1.0, 0.0, 0.0)


def gateway_options(options: HostOptions, limits: dict[str, Any]) -> GatewayOptions:
    """Returns the options of a gateway with one frontend and one plan."""
    frontend = Frontend(
        "f",
        1000.0,
        5000.0,
        options.idempotency,
        options.deduplication_scope,
        3000.0,
        1.0,
        options.late_weight,
        0.0,
        False,
    )
    default_limits = {
        "max_attempts": 4,
        "may_overlap_attempts": True,
        "may_cancel_attempts": True,
        "may_send_peer_messages": True,
        "max_retry_after_ms": 500.0,
        "peer_messages_per_second": 50.0,
    }
    return GatewayOptions(
        seed=7 + options.node_index,
        node_index=options.node_index,
        node_count=options.node_count,
        tick_ms=1.0,
        frontends=[frontend],
        plans=[options.plan or DEFAULT_PLAN],
        slow_start=SlowStartPolicy(0.2, options.warmup_ms, 3.0, 2000.0),
        limits=GatewayLimits(**(default_limits | limits)),
        polls_endpoints=options.polls_endpoints,
    )


class Host:
    """Hosts one gateway and implements its `DecisionSink`.

    Args:
        values: fields of `HostOptions` and `GatewayLimits`, by name.
    """

    def __init__(self, **values: Any) -> None:
        self.now = 1_000_000.0
        self.decisions: list[Decision] = []
        self.latest_start_at = 0.0
        self._request_count = 0
        options = HostOptions(**{name: value for name, value in values.items() if name in OPTION_NAMES})
        limits = {name: value for name, value in values.items() if name not in OPTION_NAMES}
        self.gateway = Gateway(self.now, gateway_options(options, limits))
        self.update_endpoints(*(self.endpoint(index) for index in range(options.servers)))

    def endpoint(
        self, index: int, state: EndpointState = EndpointState.READY, started_at: float = 0.0
    ) -> EndpointStatus:
        """Returns the status of one server, as discovery reports it."""
        return EndpointStatus(f"s{index}", f"h{index % 3}", index % 2, state, 1.0, started_at)

    def update_endpoints(self, *endpoints: EndpointStatus, complete: bool = True) -> None:
        """Passes an update from discovery."""
        self.handle(EndpointsUpdated(complete, list(endpoints)))

    def handle(self, event: Event) -> list[Decision]:
        """Passes one event to the gateway; returns its decisions."""
        decision_count = len(self.decisions)
        self.gateway.handle(self.now, [event], self)
        return self.decisions[decision_count:]

    def arrive(
        self, units: int = 1, customer: str = "c", client_timeout_ms: float = 5000.0, set_size: int = 3
    ) -> list[Decision]:
        """Passes the arrival of a request; returns the decisions."""
        self._request_count += 1
        request_id = f"r{self._request_count}"
        deadline = self.now + client_timeout_ms
        return self.handle(
            RequestArrived(request_id, deadline, "f", key_of_name(customer), "p", units, set_size, 0)
        )

    def end(
        self,
        request_id: str,
        result: AttemptResult,
        latency_ms: float = 50.0,
        attempt_index: int = 0,
        settled: bool | None = None,
        actual_units: int = 0,
    ) -> list[Decision]:
        """Passes the end of an attempt; returns the decisions."""
        is_settled = result is AttemptResult.OK if settled is None else settled
        return self.handle(
            AttemptFinished(request_id, attempt_index, result, latency_ms, is_settled, actual_units)
        )

    def run(self, ms: float) -> list[Decision]:
        """Advances the clock and fires the timer every 25 ms; returns the decisions."""
        decision_count = len(self.decisions)
        end = self.now + ms
        while self.now < end:
            self.now += 25.0
            self.handle(TimerFired(0))
        return self.decisions[decision_count:]

    def start_attempt(self, request_id: str, server: str, timeout: float, latest_start_at: float) -> None:
        """Records the start of an attempt."""
        self.decisions.append(("attempt", request_id, server, timeout))
        self.latest_start_at = latest_start_at

    def reject(self, *args: Any) -> None:
        """Records a rejection."""
        self.decisions.append(("reject", *args))

    def abort(self, *args: Any) -> None:
        """Records an abort."""
        self.decisions.append(("abort", *args))

    def cancel_attempt(self, *args: Any) -> None:
        """Records the cancellation of an attempt."""
        self.decisions.append(("cancel", *args))

    def send_peer_message(self, *args: Any) -> None:
        """Records a message to a peer."""
        self.decisions.append(("message", *args))

    def log(self, *args: Any) -> None:
        """Records a log line."""
        self.decisions.append(("log", *args))

    def watch_endpoints(self) -> None:
        """Records a poll of discovery."""
        self.decisions.append(("watch",))

    def record_units_spent(self, *args: Any) -> None:
        """Records a report of units to the planners."""
        self.decisions.append(("report", *args))

    def return_lease(self, *args: Any) -> None:
        """Records the return of a lease."""
        self.decisions.append(("return", *args))

    def start_timer(self, *args: Any) -> None:
        """Does nothing: `run` fires the timer."""


def kinds(decisions: list[Decision]) -> list[str]:
    """Returns the kinds of the decisions without log lines."""
    return [decision[0] for decision in decisions if decision[0] != "log"]
