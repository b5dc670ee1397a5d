"""A stub app server; faults change its speed and state. I/O."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from onyxpost.core.types import EndpointState
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.deterministic.deployment import ZONES
from onyxpost.simulation.free_ports import ANY_PORT
from onyxpost.simulation.stubs import AppServer

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Transport
    from onyxpost.simulation.stubs import RequestObserver

CALL_DURATION_MS = 20.0
MAX_SLOWDOWN_MS = 900.0  # latency that the fault `slow` adds at intensity 1


def zone_of(index: int) -> str:
    """Returns the zone of the app server with this index."""
    return ZONES[index % len(ZONES)]


def cell_of(index: int) -> int:
    """Returns the cell of the app server with this index."""
    return index % 2


class EdgeServer(AppServer):
    """One incarnation of an app server; incarnation 1 of `s0` is named `s0.1`, and `s0-1` in discovery."""

    def __init__(self, transport: Transport, observer: RequestObserver, index: int, incarnation: int) -> None:
        super().__init__(transport, observer, index, incarnation, ANY_PORT, zone_of(index))
        self.latency_ms = CALL_DURATION_MS

    @property
    def listen_address(self) -> Address:
        """The address on which the server listens; the server must be open."""
        assert self.listener is not None
        address: Address = self.listener.sockets[0].getsockname()
        return address

    @property
    def is_ready(self) -> bool:
        """Whether the server is neither draining nor retired."""
        return self.state is EndpointState.READY

    def mark_started_now(self) -> None:
        """Sets the start time that discovery reports to now."""
        self.started_at_ms = time.time() * MS_PER_SECOND

    def slow_down(self, intensity: float) -> None:
        """Raises the latency in proportion to a fault's intensity, which is from 0 to 1."""
        self.latency_ms = CALL_DURATION_MS + MAX_SLOWDOWN_MS * intensity

    def restore_speed(self) -> None:
        """Sets the latency back to `CALL_DURATION_MS`."""
        self.latency_ms = CALL_DURATION_MS

    def drain(self) -> None:
        """Rejects all requests that arrive after this call."""
        self.state = EndpointState.DRAINING

    def retire(self) -> None:
        """Stops listening for good; a new incarnation replaces this one."""
        self.close()
        self.state = EndpointState.GONE

    def close(self) -> None:
        """Stops listening; nothing happens if the server is not open."""
        if self.listener is not None:
            self.listener.close()
