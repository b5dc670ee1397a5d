"""Divides the file descriptors of an edge node between clients, app servers, the cluster and other uses."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.edge.client_components import Clients
    from onyxpost.edge.upstream_pool import UpstreamPool

# Descriptors for files, listeners, discovery, peers, planners and connections being accepted or rejected.
MAX_RESERVED_DESCRIPTORS = 48

DESCRIPTOR_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE)
EXHAUSTION_LOG_INTERVAL_MS = 10_000.0  # minimum time between two log lines about exhausted descriptors


class DescriptorBudget:
    """Decides whether a connection may be opened or accepted, and closes another one if necessary."""

    def __init__(
        self,
        descriptor_limit: Callable[[], int],
        clients: Clients,
        upstream_pool: UpstreamPool,
        count_cluster_connections: Callable[[], int],
    ) -> None:
        """Creates the budget of a node.

        Args:
            descriptor_limit: returns the maximum number of open descriptors.
            clients: the client connections to count and close.
            upstream_pool: the upstream connections to count and close.
            count_cluster_connections: returns the number of connections to members of the cluster.
        """
        self.descriptor_limit = descriptor_limit
        self.clients = clients
        self.upstream_pool = upstream_pool
        self.count_cluster_connections = count_cluster_connections

    def reserved_count(self) -> int:
        """Returns the number of descriptors kept for uses other than clients, app servers and cluster."""
        return min(MAX_RESERVED_DESCRIPTORS, self.descriptor_limit() // 4)

    def in_use_count(self) -> int:
        """Returns the number of descriptors that are open or reserved."""
        connections = self.clients.connections
        client_count = len(connections.open) + len(connections.closing)
        return (
            client_count
            + self.upstream_pool.connection_count
            + self.reserved_count()
            + self.count_cluster_connections()
        )

    def has_client_capacity(self) -> bool:
        """Returns whether one more client may connect; may close another connection to allow it.

        The load balancer in front opens at most as many connections as a third of this node's descriptor
        limit, and a client that has sent a request keeps its connection. So once clients hold a quarter of
        the descriptors, each new client replaces one that is idle or slow to send a request, if there is one.
        Clients may hold at most three fifths of the descriptors that are not reserved. The others are left
        for upstream connections, as a request without one cannot be forwarded.
        """
        limit = self.descriptor_limit()
        client_count = len(self.clients.connections.open)
        if client_count >= limit // 4 and self.clients.eviction.evict_connection():
            return self.has_upstream_capacity()  # the evicted connection keeps its descriptor while closing
        return client_count < (limit - self.reserved_count()) * 3 // 5 and self.has_upstream_capacity()

    def has_upstream_capacity(self) -> bool:
        """Returns whether one more descriptor may be opened, for a client or an app server.

        At the limit, this aborts a closing client connection or else closes an idle upstream connection.
        """
        if self.in_use_count() < self.descriptor_limit():
            return True
        return self.clients.eviction.abort_oldest_closing() or self.upstream_pool.evict_oldest_idle()


class ExhaustionLogLimiter:
    """Limits how often exhausted descriptors are logged."""

    def __init__(self) -> None:
        """Creates a limiter that permits the next log line."""
        self._logged_at_ms = -EXHAUSTION_LOG_INTERVAL_MS

    def should_suppress(self, now_ms: float, error: BaseException | None) -> bool:
        """Returns whether `error` reports exhausted descriptors and such an error was logged recently.

        asyncio reports each connection that it could not accept, and retries once a second. If this returns
        False for exhausted descriptors, it also records `now_ms` as the time of the log line that the caller
        is expected to write.
        """
        if not isinstance(error, OSError) or error.errno not in DESCRIPTOR_EXHAUSTION_ERRNOS:
            return False
        is_recent = now_ms < self._logged_at_ms + EXHAUSTION_LOG_INTERVAL_MS
        if not is_recent:
            self._logged_at_ms = now_ms
        return is_recent
