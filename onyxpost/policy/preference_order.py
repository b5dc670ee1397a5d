"""Orders the app servers for each customer by hashing, so that its requests prefer the same servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary
from zlib import crc32

from onyxpost.core.customer_quota import CustomerQuota

if TYPE_CHECKING:
    from onyxpost.core.requests import UpstreamServer
    from onyxpost.core.server_registry import ServerRegistry

HASH_RANGE = 2**32


class PreferenceOrder:
    """Orders the ready servers for each customer; orders are cached until endpoints change.

    For a customer with a quota coordinator (a large set of nodes, and a plan without a hard limit), each node
    has its own order. With a common order, all nodes would use the same server, and each would see only a
    small part of that server's load.
    """

    HASH_MULTIPLIER = 2654435761  # 2**32 divided by the golden ratio, for Knuth's multiplicative hashing

    def __init__(self, node_index: int, servers: ServerRegistry) -> None:
        self._servers = servers
        self._node_salt = crc32(f"{node_index}".encode())
        self._orders = WeakKeyDictionary[CustomerQuota, list["UpstreamServer"]]()

    def forget(self) -> None:
        """Drops all cached orders; called when the ready servers may have changed."""
        self._orders.clear()

    def servers_for(self, customer: CustomerQuota) -> list[UpstreamServer]:
        """Returns the ready servers in the customer's order of preference."""
        order = self._orders.get(customer)
        if not order:
            salted_hash = customer.hash ^ (self._node_salt if customer.has_coordinator else 0)
            multiplier = self.HASH_MULTIPLIER
            order = sorted(
                self._servers.ready,
                key=lambda each: (each.hash ^ salted_hash) * multiplier % HASH_RANGE,
            )
            self._orders[customer] = order
        return order
