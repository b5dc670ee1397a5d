"""Mutations of an edge node: known bugs that the simulations must find.

A mutation wraps a handler, or replaces a rule, of one component of the node.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.core.types import AttemptResult, EndpointState
from onyxpost.edge.messages import AttemptEnded, ClientDisconnected, SendAnswer
from onyxpost.policy.gateway import Gateway

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from onyxpost.core.events import Event as DecisionEvent
    from onyxpost.edge.messages import EdgeEvent, Effect, EndpointUpdate
    from onyxpost.edge.state_machine import EdgeStateMachine
    from onyxpost.node.edge_node import EdgeNode

NEVER_MS = 3_600_000.0  # a poll timeout longer than any run


class Mutation(NamedTuple):
    """A known bug.

    Attributes:
        inject: Puts the bug into a node that has not started yet.
        old_name: A deprecated name, which the command line still accepts.
    """

    name: str
    inject: Callable[[EdgeNode], None]
    old_name: str


def find_mutation(name: str) -> Mutation | None:
    """Returns the mutation with this current or deprecated name; None for an empty name.

    Raises:
        KeyError: No mutation has this name.
    """
    if not name:
        return None
    return MUTATIONS[current_name(name)]


def current_name(name: str) -> str:
    """Returns the current name for a current or deprecated name of a mutation; other names are unchanged."""
    return next((mutation.name for mutation in MUTATIONS.values() if name == mutation.old_name), name)


def is_mutation(name: str) -> bool:
    """Whether the name is empty, or a current or deprecated name of a mutation."""
    return not name or current_name(name) in MUTATIONS


def _gateway_of(node: EdgeNode) -> Gateway:
    """Returns the gateway that makes the decisions of a node."""
    gateway = node.state_machine.decision_maker
    if not isinstance(gateway, Gateway):
        raise TypeError(f"mutations apply only to a node with a Gateway, not a {type(gateway).__name__}")
    return gateway


def _retry_possibly_executed(node: EdgeNode) -> None:
    """Requests are retried even if a server possibly executed them."""
    _gateway_of(node).execution.replace_execution_rule(lambda _request: None)


def _ignore_drains(node: EdgeNode) -> None:
    """Draining endpoints are treated as ready."""

    def with_drains_as_ready(update: EndpointUpdate) -> EndpointUpdate:
        endpoints = [
            replace(endpoint, state=EndpointState.READY)
            if endpoint.state is EndpointState.DRAINING
            else endpoint
            for endpoint in update.endpoints
        ]
        return update._replace(endpoints=endpoints)

    _change_endpoint_updates(node.state_machine, with_drains_as_ready)


def _skip_slow_start(node: EdgeNode) -> None:
    """Servers that have just started get no slow start."""

    def without_start_times(update: EndpointUpdate) -> EndpointUpdate:
        return update._replace(endpoints=[replace(endpoint, started_at=0.0) for endpoint in update.endpoints])

    _change_endpoint_updates(node.state_machine, without_start_times)


def _change_endpoint_updates(
    state_machine: EdgeStateMachine, change: Callable[[EndpointUpdate], EndpointUpdate]
) -> None:
    handle_endpoint_update = state_machine.handle_endpoint_update

    def handle_changed(update: EndpointUpdate) -> DecisionEvent:
        return handle_endpoint_update(change(update))

    state_machine.handle_endpoint_update = handle_changed  # type: ignore[method-assign]


def _lose_answers(node: EdgeNode) -> None:
    """Answers are dropped if any client disconnects in the same step."""
    state_machine = node.state_machine
    step = state_machine.step

    def step_without_answers(now: float, events: Sequence[EdgeEvent]) -> list[Effect]:
        effects = step(now, events)
        if any(isinstance(event, ClientDisconnected) for event in events):
            return [effect for effect in effects if not isinstance(effect, SendAnswer)]
        return effects

    state_machine.step = step_without_answers  # type: ignore[method-assign]


def _ignore_limits(node: EdgeNode) -> None:
    """The quota capacity rule always grants capacity, so neither quotas nor hard limits apply."""
    _gateway_of(node).quota_control.quota_policy.replace_capacity_rule(lambda _now, _request: True)


def _treat_lost_as_not_sent(node: EdgeNode) -> None:
    """An attempt whose connection broke is treated as not sent."""
    upstream_pool = node.upstream_pool
    post_event = upstream_pool.post_event

    def post_changed(event: Any) -> None:  # noqa: ANN401 - all events of the upstream pool
        if isinstance(event, AttemptEnded) and event.result is AttemptResult.LOST:
            event = event._replace(result=AttemptResult.NO_CONNECTION)
        post_event(event)

    upstream_pool.post_event = post_changed


def _ignore_disconnects(node: EdgeNode) -> None:
    """Client disconnects are ignored, also in the check before the first byte of an attempt is sent."""
    connections = node.clients.connections
    post_event = connections.post_event

    def post_without_disconnects(event: Any) -> None:  # noqa: ANN401 - all events of the client listener
        if not isinstance(event, ClientDisconnected):
            post_event(event)

    connections.post_event = post_without_disconnects
    connections.is_waiting = lambda connection_id: True  # type: ignore[method-assign]  # noqa: ARG005


def _never_repeat_silent_polls(node: EdgeNode) -> None:
    """A discovery poll without an answer is not repeated, because its timeout is longer than the run."""
    discovery = node.discovery
    start_watch = discovery.start_watch

    def start_watch_without_repeats(*arguments: Any, **options: Any) -> None:  # noqa: ANN401 - passed on
        start_watch(*arguments, **options)
        for watch in discovery.watches.values():
            watch.schedule.on_poll_started = lambda *_arguments, **_options: NEVER_MS  # type: ignore[method-assign]

    discovery.start_watch = start_watch_without_repeats  # type: ignore[method-assign]


MUTATIONS: dict[str, Mutation] = {
    mutation.name: mutation
    for mutation in (
        Mutation("retry-possibly-executed", _retry_possibly_executed, "resends-all"),
        Mutation("ignore-drains", _ignore_drains, "deaf-to-drains"),
        Mutation("lose-answers", _lose_answers, "answer-lost"),
        Mutation("ignore-limits", _ignore_limits, "ceilings-off"),
        Mutation("treat-lost-as-not-sent", _treat_lost_as_not_sent, "lost-never-ran"),
        Mutation("ignore-disconnects", _ignore_disconnects, "sends-for-the-gone"),
        Mutation("never-repeat-silent-polls", _never_repeat_silent_polls, "deaf-watch"),
        Mutation("skip-slow-start", _skip_slow_start, "eager-cold"),
    )
}
