"""The endpoints that accept new attempts, as reported by discovery. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import EndpointState
from onyxpost.edge.messages import Endpoint

if TYPE_CHECKING:
    from onyxpost.edge.messages import EndpointUpdate


class EndpointTable:
    """The endpoints that are ready and have an address, by server id."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.by_server: dict[str, Endpoint] = {}

    def accepts_attempts(self, endpoint: Endpoint) -> bool:
        """Returns whether the server still has this address and accepts new attempts."""
        return self.by_server.get(endpoint.server) == endpoint

    def apply(self, update: EndpointUpdate) -> list[Endpoint]:
        """Applies an update.

        Returns:
            The endpoints to retire: those that are no longer ready, are gone, or have another address.
        """
        removed = {status.server for status in update.endpoints if status.state is not EndpointState.READY}
        if update.is_complete:
            removed |= set(self.by_server) - set(update.addresses)
        updated = {server: Endpoint(server, address) for server, address in update.addresses.items()}
        retired = [
            endpoint
            for server, endpoint in self.by_server.items()
            if server in removed or updated.get(server, endpoint) != endpoint
        ]
        for endpoint in retired:
            del self.by_server[endpoint.server]
        for server, endpoint in updated.items():
            if server not in removed:
                self.by_server[server] = endpoint
        return retired
