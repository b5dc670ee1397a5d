"""The memory that clients make a node hold, by use, and the limit of their sum."""

from __future__ import annotations

from typing import NamedTuple

from onyxpost.edge.errors import InsufficientMemoryError
from onyxpost.errors import with_key_path

BYTES_PER_MB = 1024 * 1024
DEFAULT_MEMORY_MB = 192.0
# Share of the memory that is free after the start. The rest is for copies that last shorter than a turn of
# the event loop, for fragmentation, and for what a node learns about servers and customers.
ACCOUNT_SHARE = 0.35
CUSTOMER_SHARE = 0.15
CUSTOMER_BYTES = 1024  # memory of one customer's quota, with its place in the table
MIN_LIMIT_BYTES = 2 * BYTES_PER_MB  # for the connections of a few hundred clients


class HeldBytes(NamedTuple):
    """Memory that one client, or all of them, make the node hold, in bytes.

    Attributes:
        connections: the connections themselves, with their streams and tasks.
        heads: incomplete and decoded heads of requests.
        input: bodies, and input that is not decoded yet.
        requests: requests that wait for their answers, and what their answers are expected to take.
        answers: answers that the clients have not read yet.
    """

    connections: int = 0
    heads: int = 0
    input: int = 0
    requests: int = 0
    answers: int = 0


def account_limit_bytes(memory_mb: float, resident_bytes: int) -> int:
    """Returns how much memory clients may make a node hold.

    Args:
        memory_mb: the memory that the process may use.
        resident_bytes: the memory that it uses at its start.

    Raises:
        InsufficientMemoryError: the memory does not suffice for a node and its clients.
    """
    limit_bytes = int(ACCOUNT_SHARE * (memory_mb * BYTES_PER_MB - resident_bytes))
    if limit_bytes < MIN_LIMIT_BYTES:
        needed_mb = (resident_bytes + MIN_LIMIT_BYTES / ACCOUNT_SHARE) / BYTES_PER_MB
        raise InsufficientMemoryError(
            with_key_path(
                f"{memory_mb:g} MB do not hold a node, which needs {needed_mb:.0f}", "limits.memory_mb"
            )
        )
    return limit_bytes


def max_customers(memory_mb: float, resident_bytes: int) -> int:
    """Returns how many customers a node can know; the arguments are those of `account_limit_bytes`."""
    return int(CUSTOMER_SHARE * (memory_mb * BYTES_PER_MB - resident_bytes) / CUSTOMER_BYTES)


class MemoryAccount:
    """The sum of what clients make a node hold.

    Attributes:
        limit_bytes: the most that they may make it hold together.
        used_bytes: what they make it hold now.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Creates an account without clients."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._bytes_by_client: dict[int, int] = {}

    def set(self, client_id: int, held_bytes: int) -> None:
        """Records what a client makes the node hold from now on."""
        self.used_bytes += held_bytes - self._bytes_by_client.get(client_id, 0)
        self._bytes_by_client[client_id] = held_bytes

    def remove(self, client_id: int) -> None:
        """Forgets a client that makes the node hold nothing any more."""
        self.used_bytes -= self._bytes_by_client.pop(client_id, 0)

    def is_exceeded(self) -> bool:
        """Returns whether the clients exceed the limit."""
        return self.used_bytes > self.limit_bytes
