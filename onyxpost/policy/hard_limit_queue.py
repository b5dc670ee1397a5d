"""The order of requests that wait for tokens of their customer's hard limit: first come, first served."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.core.customer_quota import CustomerQuota
    from onyxpost.core.requests import Request


class HardLimitQueue:
    """A queue for each customer, in order of arrival."""

    def __init__(self) -> None:
        self._queues: dict[CustomerQuota, list[Request]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def customers(self) -> list[CustomerQuota]:
        """Returns the customers with requests that wait."""
        return list(self._queues)

    def units(self, customer: CustomerQuota) -> int:
        """Returns the units of all requests of a customer that wait."""
        return sum(request.units for request in self._queues.get(customer, []))

    def has(self, customer: CustomerQuota) -> bool:
        """Returns whether requests of a customer wait."""
        return customer in self._queues

    def append(self, request: Request) -> None:
        """Adds a request at the end of its customer's queue."""
        self._queues.setdefault(request.customer, []).append(request)

    def first(self, customer: CustomerQuota) -> Request | None:
        """Returns the request that is next, without removing it."""
        queue = self._queues.get(customer)
        return queue[0] if queue else None

    def pop(self, customer: CustomerQuota) -> None:
        """Removes the request that is next."""
        queue = self._queues[customer]
        del queue[0]
        if not queue:
            del self._queues[customer]
