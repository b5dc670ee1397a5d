"""Options of the decision code of one node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

from onyxpost.core.usage_reports import Placement

if TYPE_CHECKING:
    from onyxpost.core.events import RequestArrived
    from onyxpost.core.types import Frontend, GatewayLimits, Plan, SlowStartPolicy

INCARNATION_MASK = 0xFFFF  # an incarnation has at most four hexadecimal digits in messages of limited size


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of a gateway.

    Attributes:
        seed: seed of the node's random numbers; equal seeds give equal decisions.
        node_index: this node's index among `node_count` nodes.
        node_count: number of nodes that share the customers' quotas.
        tick_ms: resolution of the node's timers; 0 if they are exact.
        frontends: all frontends.
        plans: all plans of customers, in the same order on all nodes.
        slow_start: how the capacity of an app server grows after its start.
        limits: limits that the deployment sets for the node.
        polls_endpoints: whether the node must poll discovery because discovery does not push changes.
    """

    seed: int
    node_index: int
    node_count: int
    tick_ms: float
    frontends: list[Frontend]
    plans: list[Plan]
    slow_start: SlowStartPolicy
    limits: GatewayLimits
    polls_endpoints: bool = False

    def placement(self, event: RequestArrived) -> Placement:
        """Returns the plan and the nodes of the customer whose request has arrived.

        Raises:
            StopIteration: no plan has the name in the event.
        """
        plan_index = next(index for index, plan in enumerate(self.plans) if plan.name == event.plan)
        return Placement(plan_index, int(event.first_node_index), int(event.set_size))

    @property
    def incarnation(self) -> str:
        """Identifies this run of the node in messages to peers, to distinguish it from earlier runs.

        It depends on the seed only, so the seed has to change at each start.
        """
        return f"{crc32(f'{self.seed}/life'.encode()) & INCARNATION_MASK:x}"

    @property
    def max_peer_messages_per_second(self) -> float:
        """Messages a second that a node can receive from its peers; 0 if nodes send no messages."""
        return self.limits.may_send_peer_messages * self.limits.peer_messages_per_second

    @property
    def shortest_latency_objective_ms(self) -> float:
        """The shortest latency objective of all frontends, in ms."""
        return min(frontend.latency_objective_ms for frontend in self.frontends)
