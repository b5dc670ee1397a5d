"""The registry of the app servers that discovery reports."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from onyxpost.core.types import EndpointState

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.core.events import EndpointsUpdated
    from onyxpost.core.requests import Attempt, UpstreamServer


class ServerRegistry:
    """The known app servers.

    Attributes:
        known: all servers that are ready or draining, by id.
        ready: servers that accept new attempts.
        active: servers with attempts in flight or recent results; sums visit only these, to save time.
    """

    def __init__(self) -> None:
        self.known: dict[str, UpstreamServer] = {}
        self.ready: list[UpstreamServer] = []
        self.active: dict[UpstreamServer, None] = {}

    def update(
        self,
        update: EndpointsUpdated,
        create_server: Callable[[str], UpstreamServer],
        on_start: Callable[[UpstreamServer], None],
    ) -> None:
        """Applies an update from discovery.

        Args:
            update: the reported endpoints.
            create_server: returns a new server for an unknown id.
            on_start: called for each server that has started since its last status, before the new status
                is set.
        """
        if update.is_complete:
            for server in self.known.values():  # servers that the update omits are gone
                server.endpoint = replace(server.endpoint, state=EndpointState.GONE)
        for status in update.endpoints:
            server = self.known.get(status.server) or create_server(status.server)
            self.known[server.id] = server
            if status.started_at != server.endpoint.started_at:
                on_start(server)
            server.endpoint = status
        self.known = {
            key: each for key, each in self.known.items() if each.endpoint.state is not EndpointState.GONE
        }
        self.ready = [
            server for server in self.known.values() if server.endpoint.state is EndpointState.READY
        ]

    def timely_attempts(self, now: float) -> int:
        """Returns the number of attempts in flight, at all servers, whose latency deadline has not passed."""
        return sum(server.timely_attempts(now) for server in self.active)

    def attempts_in_flight(self) -> list[Attempt]:
        """Returns the attempts in flight at all servers."""
        return [attempt for server in self.active for attempt in server.in_flight]
