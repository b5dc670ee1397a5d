"""What the routing rules in force permit a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import UNRESTRICTED, RoutingConstraint

if TYPE_CHECKING:
    from onyxpost.core.events import RoutingRulesChanged
    from onyxpost.core.node_state import NodeState
    from onyxpost.core.requests import Request
    from onyxpost.core.sink import DecisionSink


class RoutingConstraints:
    """Looks up the constraint of each request; it keeps that of its admission when the rules change."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def on_routing_rules_changed(self, _now: float, event: RoutingRulesChanged, _sink: DecisionSink) -> None:
        """Puts the rules into force for requests that are admitted from now on."""
        self._state.rules = event.rules

    def constraint_for(self, request: Request) -> RoutingConstraint:
        """Returns the constraint that the rules in force put on the request."""
        rules = self._state.rules
        if rules is None:
            return UNRESTRICTED
        customer = request.customer
        return rules.constraint_for(request.frontend.name, customer.plan.name, customer.key)
