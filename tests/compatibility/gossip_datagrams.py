"""Gossip datagrams between edge nodes: the datagrams sent for customers, and their effect on a receiver."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.core import types
from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.customer_table import CustomerTable
from onyxpost.core.options import GatewayOptions
from onyxpost.core.usage_reports import PeerUsageReport, Placement
from onyxpost.edge.messages import decode_datagram, encode_datagram
from onyxpost.policy.gossip_messages import GossipMessenger
from onyxpost.policy.peer_usage import PeerUsageAccounting
from onyxpost.policy.quotas import QuotaPolicy

if TYPE_CHECKING:
    from tests.compatibility.json_types import JsonObject

INCARNATION = "19c4f"
PLAN = types.Plan(
    name="team",
    rate=20.0,
    burst=60.0,
    concurrency_limit=4,
    priority_factor=1.0,
    hard_limit_rate=30.0,
    hard_limit_burst=80.0,
)
FREE_PLAN = types.Plan("free", 20.0, 60.0, 4, 1.0, 0.0, 0.0)
GOSSIP_OPTIONS = GatewayOptions(
    seed=0,
    node_index=0,
    node_count=10,
    tick_ms=0.0,
    frontends=[],
    plans=[PLAN, FREE_PLAN],
    slow_start=types.SlowStartPolicy(1.0, 0.0, 1.0, 1.0),
    limits=types.GatewayLimits(1, True, True, True, 0.0, 1000.0),
)


def quota_policy(customers: dict[int, CustomerQuota]) -> QuotaPolicy:
    """Returns the quota policy of a node with these customers."""
    table = CustomerTable(0.0)
    table.by_key = customers
    return QuotaPolicy(GOSSIP_OPTIONS, table)


def gossip(customers: dict[int, CustomerQuota]) -> GossipMessenger:
    """Returns the gossip of a node that has not yet reported any of these customers to its peers."""
    exchange = GossipMessenger(GOSSIP_OPTIONS, quota_policy(customers))
    exchange.incarnation = INCARNATION
    for one in customers.values():
        exchange.changed[one] = None
    return exchange


def customer_of(key: int, plan_index: int, set_size: int, units: int) -> CustomerQuota:
    """Returns a customer of node 0 that has consumed `units` units."""
    made = CustomerQuota(key, 0.0)
    quota_policy({}).assign_plan(made, 0.0, Placement(plan_index, 0, set_size))
    made.consume(units, 0)
    made.in_flight = min(units, 2)
    return made


def report_to(customer: CustomerQuota, peer: int, units: int, in_flight: int) -> None:
    """Applies the first usage report of a peer to a customer."""
    report = PeerUsageReport(customer.key, units, in_flight, units, 0, Placement(0, 0, 0))
    PeerUsageAccounting().apply_report(customer, 0.0, peer, "19c00", report)


def gossip_senders() -> dict[str, dict[int, CustomerQuota]]:
    """Returns customers whose usage a node has to report to its peers, by case."""
    sharing_customer = customer_of(0xABC, 0, 2, 3)
    report_to(sharing_customer, 1, 50, 1)
    sharing_customer.hard_limit.tokens = 40.0
    coordinator_customer = customer_of(0x10, 1, 8, 45)
    report_to(coordinator_customer, 3, 7, 2)
    return {
        "a count": {0x1F: customer_of(0x1F, 0, 3, 5)},
        "a count, with units given": {0xABC: sharing_customer},
        "a count to the keeper": {0x11: customer_of(0x11, 1, 8, 30)},
        "corrections of the keeper": {0x10: coordinator_customer},
        "several customers": {key: customer_of(key, 0, 2, key % 7 + 1) for key in (1, 2, 0x1FFFFFFFF)},
        "more customers than one datagram holds": {
            key: customer_of(key, 0, 2, key % 7 + 1) for key in range(0xFFFF00, 0xFFFF14)
        },
        "nothing to tell": {},
    }


def gossip_datagrams(case: str) -> list[list[Any]]:
    """Returns the datagrams of one gossip round: pairs of a peer's index and a datagram in hexadecimal."""
    sent: list[list[Any]] = []
    gossip(gossip_senders()[case]).send(
        0.0, lambda peer, body: sent.append([peer, encode_datagram(body).hex()])
    )
    return sent


def gossip_received(data: bytes, peer: int | None) -> JsonObject | None:
    """Returns the effect of a datagram on a node, or None if the node drops the datagram.

    A datagram is dropped if its sender is no peer (`peer` is None) or its bytes are no valid text.
    """
    datagram = decode_datagram(data, peer)
    if datagram is None:
        return None
    customers: dict[int, CustomerQuota] = {}
    receiver = gossip(customers)
    receiver.receive(0.0, datagram.peer, datagram.body, lambda customer: None)
    return {"peer": datagram.peer, "customers": [customer_from_peers(one) for one in customers.values()]}


def customer_from_peers(customer: CustomerQuota) -> JsonObject:
    """Returns the state of a customer that is known from reports of peers only."""
    usage_by_peer = {
        str(peer): {
            "incarnation": usage.incarnation,
            "count": usage.units_used,
            "open": usage.in_flight,
            "recent": usage.recent_units,
        }
        for peer, usage in customer.peer_usage.items()
    }
    placement = customer.placement
    return {
        "customer": customer.key,
        "plan": customer.plan.name,
        "position": "" if placement is None else ":".join(f"{field:x}" for field in placement),
        "tokens": round(customer.quota.tokens, 6),
        "ceiling tokens": round(customer.hard_limit.tokens, 6),
        "peers": customer.peers,
        "keeper": customer.coordinator,
        "heard": usage_by_peer,
    }
