"""The queues of requests that wait for tokens of their customer's hard limit, first in, first out."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.core.customer_quota import CustomerQuota
    from onyxpost.core.requests import Request


class HardLimitQueue:
    """One queue per customer, in order of arrival. `len()` is the number of requests in all queues."""

    def __init__(self) -> None:
        self._queues: dict[CustomerQuota, list[Request]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def customers(self) -> list[CustomerQuota]:
        """Returns the customers that have queued requests."""
        return list(self._queues)

    def units(self, customer: CustomerQuota) -> int:
        """Returns the units of all queued requests of the customer."""
        return sum(request.units for request in self._queues.get(customer, []))

    def has_requests(self, customer: CustomerQuota) -> bool:
        """Returns whether the customer has queued requests."""
        return customer in self._queues

    def append(self, request: Request) -> None:
        """Appends a request to its customer's queue."""
        self._queues.setdefault(request.customer, []).append(request)

    def first(self, customer: CustomerQuota) -> Request | None:
        """Returns the head of the customer's queue without removing it; None if there is no queue."""
        queue = self._queues.get(customer)
        return queue[0] if queue else None

    def pop(self, customer: CustomerQuota) -> None:
        """Removes the head of the customer's queue.

        Raises:
            KeyError: the customer has no queued requests.
        """
        queue = self._queues[customer]
        del queue[0]
        if not queue:
            del self._queues[customer]
