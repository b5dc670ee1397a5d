"""Bugs put into an edge node that seeds and rig must find."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from onyxpost.core.types import AttemptResult, EndpointState
from onyxpost.edge.messages import ClientDisconnected, SendAnswer
from onyxpost.node.edge_node import EdgeNode
from onyxpost.policy.gateway import Gateway


def _gateway_of(program: EdgeNode) -> Gateway:
    """Returns the decision code of a node."""
    gateway = program.state_machine.decision_maker
    if not isinstance(gateway, Gateway):
        raise TypeError(f"a mutation needs a Gateway, not {type(gateway).__name__}")
    return gateway


def _resends_all(program: EdgeNode) -> None:
    """Further attempts whatever may have run."""
    _gateway_of(program).execution.replace_rule(lambda _request: None)


def _deaf_to_drains(program: EdgeNode) -> None:
    state_machine = program.state_machine
    handle_endpoint_update = state_machine.handle_endpoint_update

    def careless(told: Any) -> Any:
        rows = [
            type(row)(row.server, row.zone, row.cell, EndpointState.READY, row.weight, row.started_at)
            if row.state is EndpointState.DRAINING
            else row
            for row in told.endpoints
        ]
        return handle_endpoint_update(told._replace(endpoints=rows))

    state_machine.handle_endpoint_update = careless  # type: ignore[assignment, method-assign]


def _answer_lost_in_a_crossing(program: EdgeNode) -> None:
    """An answer in the round in which another client leaves is forgotten."""
    state_machine = program.state_machine
    step = state_machine.step

    def careless(now: float, values: Any) -> Any:
        effects = step(now, values)
        if any(isinstance(value, ClientDisconnected) for value in values):
            effects = [effect for effect in effects if not isinstance(effect, SendAnswer)]
        return effects

    state_machine.step = careless  # type: ignore[assignment, method-assign]


def _ceilings_off(program: EdgeNode) -> None:
    """Ceilings and quotas are not looked at."""
    _gateway_of(program).quota_control.quotas.replace_capacity_rule(lambda _now, _request: True)


def _lost_means_never_ran(program: EdgeNode) -> None:
    servers = program.servers
    post = servers.post

    def careless(value: Any) -> None:
        if getattr(value, "result", None) is AttemptResult.LOST:
            value = value._replace(result=AttemptResult.NO_CONNECTION)
        post(value)

    servers.post = careless


def _sends_for_the_gone(program: EdgeNode) -> None:
    """That a client has gone is not heard of, and not looked at before a first byte."""
    connections = program.clients.connections
    post = connections.post

    def careless(value: Any) -> None:
        if not isinstance(value, ClientDisconnected):
            post(value)

    connections.post = careless
    connections.is_waiting = lambda connection_id: True  # type: ignore[method-assign]


def _deaf_watch(program: EdgeNode) -> None:
    """A watch that has fallen silent is waited for, for ever."""
    discovery = program.discovery
    start_watch = discovery.start_watch

    def careless(*args: Any, **kwargs: Any) -> None:
        start_watch(*args, **kwargs)
        for watch in discovery.watches.values():
            watch.tracker.on_poll_started = lambda *args, **kwargs: 3_600_000.0  # type: ignore[method-assign]

    discovery.start_watch = careless  # type: ignore[method-assign]


def _eager_cold(program: EdgeNode) -> None:
    """Servers that have just started are taken for warm."""
    state_machine = program.state_machine
    handle_endpoint_update = state_machine.handle_endpoint_update

    def careless(told: Any) -> Any:
        return handle_endpoint_update(
            told._replace(endpoints=[replace(row, started_at=0.0) for row in told.endpoints])
        )

    state_machine.handle_endpoint_update = careless  # type: ignore[assignment, method-assign]


PLANTS: dict[str, Callable[[EdgeNode], None] | None] = {
    "": None,
    "resends-all": _resends_all,
    "deaf-to-drains": _deaf_to_drains,
    "answer-lost": _answer_lost_in_a_crossing,
    "ceilings-off": _ceilings_off,
    "lost-never-ran": _lost_means_never_ran,
    "sends-for-the-gone": _sends_for_the_gone,
    "deaf-watch": _deaf_watch,
    "eager-cold": _eager_cold,
}
