"""Delivery of endpoint updates to one node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from onyxpost.core.types import EndpointState, EndpointStatus
from onyxpost.simulation.virtual_time import START_UNIX_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.simulation.discrete_event.event_queue import EventQueue
    from onyxpost.simulation.discrete_event.server_model import ServerModel

NODE_DOWN_RETRY_MS = 200.0  # time until an update is sent again to a node that is down


class UpdateReceiver(Protocol):
    """The node that receives the updates."""

    is_alive: bool

    def receive_endpoint_update(self, statuses: list[EndpointStatus]) -> None:
        """Handles the current status of the endpoints that changed."""


class EndpointUpdates:
    """The endpoints that a node knows, and the changes that it has not received yet.

    An update contains all changes that happen before its delivery.

    Attributes:
        known_servers: servers that the node knows, by id.
        statuses: status of each of these servers in the last update that the node received.
    """

    def __init__(self, clock: EventQueue, receiver: UpdateReceiver) -> None:
        self._clock = clock
        self._receiver = receiver
        self.known_servers: dict[str, ServerModel] = {}
        self.statuses: dict[str, EndpointStatus] = {}
        self._changed: dict[str, ServerModel] = {}
        self._is_scheduled = False

    def set_known(self, servers: Iterable[ServerModel]) -> None:
        """Sets the endpoints that the node knows at the start of the run."""
        for server in servers:
            self.known_servers[server.server_id] = server
            self.statuses[server.server_id] = server.endpoint_status(START_UNIX_MS)

    def schedule(self, server: ServerModel, delay_ms: float) -> None:
        """Delivers a change after a delay, or with the update that is already scheduled."""
        self._changed[server.server_id] = server
        if not self._is_scheduled:
            self._is_scheduled = True
            self._clock.call_after(delay_ms, self._deliver)

    def _deliver(self) -> None:
        if not self._receiver.is_alive:
            self._clock.call_after(NODE_DOWN_RETRY_MS, self._deliver)
            return
        self._is_scheduled = False
        changed = list(self._changed.values())
        self._changed = {}
        statuses = [server.endpoint_status(START_UNIX_MS) for server in changed]
        for server, status in zip(changed, statuses, strict=True):
            if status.state is EndpointState.GONE:
                self.statuses.pop(server.server_id, None)
                self.known_servers.pop(server.server_id, None)
            else:
                self.statuses[server.server_id] = status
                self.known_servers[server.server_id] = server
        self._receiver.receive_endpoint_update(statuses)
