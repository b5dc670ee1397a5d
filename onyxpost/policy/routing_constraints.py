"""Looks up the constraints that routing rules put on requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import UNRESTRICTED, RoutingConstraint

if TYPE_CHECKING:
    from onyxpost.core.events import RoutingRulesChanged
    from onyxpost.core.node_state import NodeState
    from onyxpost.core.requests import Request
    from onyxpost.core.sink import DecisionSink


class RoutingConstraints:
    """Looks up the constraint of a request at its admission; a later change of rules does not alter it."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def on_routing_rules_changed(self, _now: float, event: RoutingRulesChanged, _sink: DecisionSink) -> None:
        """Replaces the rules for all requests that are admitted from now on."""
        self._state.rules = event.rules

    def constraint_for(self, request: Request) -> RoutingConstraint:
        """Returns the constraint that the rules put on the request; `UNRESTRICTED` if there are no rules."""
        rules = self._state.rules
        if rules is None:
            return UNRESTRICTED
        customer = request.customer
        return rules.constraint_for(request.frontend.name, customer.plan.name, customer.hash)
