"""The state that the components of one node share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.core.customer_table import CustomerTable
    from onyxpost.core.options import GatewayOptions
    from onyxpost.core.requests import Request
    from onyxpost.core.server_registry import ServerRegistry
    from onyxpost.core.types import RoutingRules


@dataclass(slots=True)
class NodeState:
    """The requests, customers, servers and routing rules that a node knows.

    Attributes:
        requests: requests that are queued, have attempts in flight or are unanswered, by request id.
        rules: the routing rules in force; None if there are none.
    """

    options: GatewayOptions
    customers: CustomerTable
    servers: ServerRegistry
    requests: dict[str, Request]
    rules: RoutingRules | None = None
