"""Keeps what clients make a node hold within its memory, by evicting clients."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from onyxpost.edge.client_connection import (
    CONNECTION_BYTES,
    INCOMPLETE_REQUEST_GRACE_MS,
    ClientConnection,
)
from onyxpost.edge.memory_account import HeldBytes, MemoryAccount
from onyxpost.policy.memory_pressure import HolderState, MemoryHolder, MemoryPressurePolicy
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from onyxpost.edge.client_connections import ClientConnections
    from onyxpost.edge.client_http import ClientHttp
    from onyxpost.runtime.transport import Transport

UNREAD_ANSWER_GRACE_MS = 1_000.0  # for a client to read its answer
LOG_INTERVAL_MS = 1_000.0  # least time between two log lines about evicted clients
# Closed connections whose cyclic garbage may wait for the collector; each takes about 1 KiB.
MAX_UNCOLLECTED_CONNECTIONS = 128
ABORTED_STATES = (HolderState.UNREAD_ANSWER, HolderState.CLOSING)
REQUEST_REJECTED = "request rejected"  # a complete request that the memory could not take


class ClientMemory:
    """Accounts for what each client makes the node hold, and evicts clients beyond the limit.

    Attributes:
        account: what the clients make the node hold.
    """

    def __init__(
        self,
        connections: ClientConnections,
        http: ClientHttp,
        transport: Transport,
        log: Callable[[LogEvent], None],
        account: MemoryAccount,
    ) -> None:
        """Creates the accounting of a node without clients.

        Args:
            connections: the connections to account for.
            http: answers clients that are evicted.
            transport: the node's transport.
            log: receives the events that name why clients were evicted.
            account: the account, without clients.
        """
        self.account = account
        self._connections = connections
        self._http = http
        self._transport = transport
        self._clock = transport.clock
        self._log = log
        self._policy = MemoryPressurePolicy()
        self._evictions: Counter[str] = Counter()
        self._last_evicted: ClientConnection | None = None
        self._logged_at = -LOG_INTERVAL_MS
        self._uncollected_count = 0

    def on_change(self, connection: ClientConnection) -> None:
        """Records that a connection makes the node hold more or less, and enforces the limit."""
        self._record(connection)
        if self.account.is_exceeded():
            self._release()

    def on_closed(self, connection: ClientConnection) -> None:
        """Forgets a connection whose descriptor is closed."""
        self.account.remove(connection.connection_id)
        self._uncollected_count += 1
        if self._uncollected_count > MAX_UNCOLLECTED_CONNECTIONS:
            self._uncollected_count = 0
            self._transport.collect_garbage()

    def admits_request(self, connection: ClientConnection, extra_bytes: int) -> bool:
        """Returns whether a complete request may wait for its answer; may evict other clients for it.

        Args:
            connection: the connection of the request.
            extra_bytes: what the request makes the node hold in addition to its input.
        """
        self.account.set(connection.connection_id, connection.held_bytes_total() + extra_bytes)
        if self.account.is_exceeded():
            self._release(spared=connection)
        if not self.account.is_exceeded():
            return True
        self._count_eviction(REQUEST_REJECTED, connection)
        return False

    def update_all(self) -> None:
        """Accounts for all connections anew, as clients read their answers at any time; called regularly."""
        for connection in self._all_connections():
            self._record(connection)
        if self.account.is_exceeded():
            self._release()
        self._log_evictions()

    def held_by_use(self) -> HeldBytes:
        """Returns what all clients together make the node hold, by use."""
        held = [connection.held_bytes() for connection in self._all_connections()]
        return HeldBytes(*(sum(use) for use in zip(*held, strict=True)))

    def _record(self, connection: ClientConnection) -> None:
        connection.note_unsent(self._clock())
        self.account.set(connection.connection_id, connection.held_bytes_total())

    def _all_connections(self) -> list[ClientConnection]:
        return [*self._connections.open.values(), *self._connections.closing.values()]

    def _release(self, spared: ClientConnection | None = None) -> None:
        holders = self._holders(spared)
        for holder in self._policy.select(holders, self.account.used_bytes, self.account.limit_bytes):
            connection = self._connections.find(holder.client_id)
            if connection is not None and self._may_evict(connection):
                self._evict(connection, holder.state)

    def _holders(self, spared: ClientConnection | None) -> Iterator[MemoryHolder]:
        now = self._clock()
        for connection in self._all_connections():
            if connection is not spared:
                state = self._state_of(connection, now)
                since = (
                    connection.unsent_since
                    if state is HolderState.UNREAD_ANSWER
                    else connection.waiting_since
                )
                released_bytes = connection.held_bytes_total()
                if state not in ABORTED_STATES:
                    released_bytes -= CONNECTION_BYTES  # the connection itself is closed later
                yield MemoryHolder(connection.connection_id, state, released_bytes, since)

    def _state_of(self, connection: ClientConnection, now: float) -> HolderState:
        if connection.unsent_since < now - UNREAD_ANSWER_GRACE_MS:
            return HolderState.UNREAD_ANSWER
        if connection.has_unanswered_request or connection.unsent_bytes():
            return HolderState.WAITING
        if connection.connection_id in self._connections.closing:
            return HolderState.CLOSING
        if connection.is_request_awaited_since(now - INCOMPLETE_REQUEST_GRACE_MS):
            return HolderState.SLOW_REQUEST
        return HolderState.IDLE if connection.is_idle() else HolderState.ARRIVING_REQUEST

    def _may_evict(self, connection: ClientConnection) -> bool:
        """Returns False if the first bytes of a request may be in the kernel, as this node may be late."""
        is_awaited = connection.connection_id in self._connections.open and not connection.has_partial_request
        return not is_awaited or connection.is_input_read(self._transport)

    def _evict(self, connection: ClientConnection, state: HolderState) -> None:
        self._count_eviction(state.name.lower().replace("_", " "), connection)
        if state in ABORTED_STATES:
            self._connections.begin_closing(connection)
            self._connections.abort(connection)
            self.account.remove(connection.connection_id)
            return
        if connection.has_partial_request or connection.is_new:
            self._http.reject_overloaded(connection)
        else:
            self._connections.begin_closing(connection)
        self._record(connection)

    def _count_eviction(self, reason: str, connection: ClientConnection) -> None:
        self._evictions[reason] += 1
        self._last_evicted = connection

    def _log_evictions(self) -> None:
        now = self._clock()
        if self._last_evicted is None or now < self._logged_at + LOG_INTERVAL_MS:
            return
        fields = {
            "reasons": dict(self._evictions),
            "last_connection": self._last_evicted.connection_id,
            "limit_bytes": self.account.limit_bytes,
            "held_bytes": self.held_by_use()._asdict(),
        }
        self._log(LogEvent("memory short", fields, logging.WARNING))
        self._logged_at = now
        self._evictions.clear()
        self._last_evicted = None
