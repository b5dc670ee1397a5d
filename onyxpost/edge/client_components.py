"""Builds the objects that serve clients, and connects them with each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.edge.client_closing import ClientCloser
from onyxpost.edge.client_connections import ClientConnections
from onyxpost.edge.client_eviction import ClientEviction
from onyxpost.edge.client_http import ClientHttp
from onyxpost.edge.client_listener import ClientListener
from onyxpost.edge.client_memory import ClientMemory
from onyxpost.edge.memory_account import MemoryAccount

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.deployment import Deployment
    from onyxpost.edge.messages import EdgeEvent, SendAnswer
    from onyxpost.runtime.log_event import LogEvent
    from onyxpost.runtime.transport import Transport

UNLIMITED_BYTES = 1 << 62  # until the node sets the limit at its start


@dataclass(frozen=True, slots=True)
class Clients:
    """The objects of a node that serve clients.

    Attributes:
        connections: all open and closing connections.
        http: decodes requests and writes responses.
        listener: accepts and reads connections.
        closer: closes connections at their deadlines and during a shutdown.
        eviction: closes connections when descriptors run out.
        memory: evicts clients when memory runs short.
    """

    connections: ClientConnections
    http: ClientHttp
    listener: ClientListener
    closer: ClientCloser
    eviction: ClientEviction
    memory: ClientMemory

    def send_answer(self, answer: SendAnswer) -> None:
        """Sends an answer, unless its client has disconnected."""
        connection = self.connections.find_unanswered(answer.connection_id)
        if connection is not None:
            try:
                self.http.send_answer(connection, answer)
            finally:
                self.memory.on_change(connection)


def build_clients(
    deployment: Deployment,
    transport: Transport,
    post: Callable[[EdgeEvent], None],
    is_ready: Callable[[], bool],
    has_capacity: Callable[[], bool],
    report_fault: Callable[[str, BaseException], None],
    log: Callable[[LogEvent], None],
) -> Clients:
    """Builds the objects that serve clients; none of them opens a socket yet.

    Args:
        deployment: the settings that requests are checked against.
        transport: the node's transport.
        post: receives the events of requests and of clients that disconnect.
        is_ready: returns whether health checks are answered with 200 rather than 503.
        has_capacity: returns whether one more client may be served.
        report_fault: logs an unexpected exception.
        log: writes an event to the node's log.
    """
    connections = ClientConnections(transport, post)
    http = ClientHttp(
        deployment,
        transport.clock,
        post,
        is_ready,
        connections.begin_closing,
        lambda connection, extra_bytes: memory.admits_request(connection, extra_bytes),
    )
    memory = ClientMemory(connections, http, transport, log, MemoryAccount(UNLIMITED_BYTES))
    return Clients(
        connections,
        http,
        ClientListener(transport, connections, http, memory, has_capacity, report_fault),
        ClientCloser(transport, connections, http),
        ClientEviction(transport, connections, http),
        memory,
    )
