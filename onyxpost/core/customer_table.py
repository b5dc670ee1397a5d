"""The table of customers that a node knows."""

from __future__ import annotations

from math import inf

from onyxpost.core.customer_quota import CustomerQuota


class CustomerTable:
    """Customers' quotas, by the customer's key.

    Attributes:
        started_at: start of this node, in ms; a new customer's buckets get the tokens for the time since
            then.
        by_key: all known customers.
        max_count: the number of customers beyond which new ones cannot be added by requests.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.by_key: dict[int, CustomerQuota] = {}
        self.max_count = inf

    def can_hold(self, key: int) -> bool:
        """Returns whether the customer with this key is known or can be added."""
        return key in self.by_key or len(self.by_key) < self.max_count

    def get(self, key: int) -> CustomerQuota:
        """Returns the customer with this key; adds it if it is not known."""
        customer = self.by_key.get(key)
        if customer is None:
            customer = CustomerQuota(key, self.started_at)
            self.by_key[key] = customer
        return customer
