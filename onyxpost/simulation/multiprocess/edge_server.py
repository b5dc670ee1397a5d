"""A stub app server whose speed and state faults change. I/O."""

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
MAX_SLOWDOWN_MS = 900.0  # that the fault `slow` adds, at intensity 1


def zone_of(index: int) -> str:
    """Returns the zone of an app server."""
    return ZONES[index % len(ZONES)]


def cell_of(index: int) -> int:
    """Returns the cell of an app server."""
    return index % 2


class EdgeServer(AppServer):
    """One incarnation of an app server; its endpoint is `s0.1`, its id in discovery `s0-1`."""

    def __init__(self, transport: Transport, observer: RequestObserver, index: int, incarnation: int) -> None:
        super().__init__(transport, observer, index, incarnation, ANY_PORT, zone_of(index))
        self.latency_ms = CALL_DURATION_MS

    @property
    def listen_address(self) -> Address:
        """Where it listens, once it is open."""
        assert self.listener is not None
        address: Address = self.listener.sockets[0].getsockname()
        return address

    @property
    def is_ready(self) -> bool:
        """Whether it neither drains nor has been replaced."""
        return self.state is EndpointState.READY

    def mark_started_now(self) -> None:
        """Discovery reports it as just started."""
        self.started_at_ms = time.time() * MS_PER_SECOND

    def slow_down(self, intensity: float) -> None:
        """Answers later, by a fault's intensity from 0 to 1."""
        self.latency_ms = CALL_DURATION_MS + MAX_SLOWDOWN_MS * intensity

    def restore_speed(self) -> None:
        """Answers as usual again."""
        self.latency_ms = CALL_DURATION_MS

    def drain(self) -> None:
        """Rejects all requests that arrive from now on."""
        self.state = EndpointState.DRAINING

    def retire(self) -> None:
        """Stops to listen; another process takes its place."""
        self.close()
        self.state = EndpointState.GONE

    def close(self) -> None:
        """Stops to listen, if it does."""
        if self.listener is not None:
            self.listener.close()
