"""Reads from proxied bytes which attempts nodes send, and which states discovery reports. No I/O."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec

from onyxpost.core.types import EndpointState
from onyxpost.simulation.multiprocess.edge_server import cell_of, zone_of
from onyxpost.simulation.multiprocess.endpoints import endpoint_of
from onyxpost.simulation.multiprocess.history import AttemptForwarded, EndpointNotified
from onyxpost.simulation.multiprocess.tcp_proxy import TransferStage

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.multiprocess.tcp_proxy import Transfer

TRACE_ID = re.compile(rb"x-trace-id: ([^\r\n]+)", re.IGNORECASE)
LIFECYCLE_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}
END_OF_HEAD = b"\r\n\r\n"


class EndpointRow(msgspec.Struct, frozen=True):
    """An app server in a response of discovery."""

    id: str = msgspec.field(name="instanceId")
    lifecycle: str


class DiscoveryAnswer(msgspec.Struct, frozen=True):
    """The body of a response of discovery."""

    instances: list[EndpointRow]


class EdgeTrafficObserver:
    """Records attempts, and endpoint states from discovery, as events of the history."""

    def __init__(self, context: RunContext) -> None:
        self.context = context

    def observe(self, transfer: Transfer) -> None:
        """Receives all bytes of TCP from the fault proxy.

        A request is timed by its arrival in the proxy's socket, a response of discovery by its forwarding.
        """
        if transfer.destination.startswith("s") and transfer.stage is TransferStage.RECEIVED:
            self._observe_request(transfer)
        elif transfer.source.startswith("d") and transfer.stage is TransferStage.FORWARDED:
            self._observe_discovery(transfer.destination, transfer.data)

    def _observe_request(self, transfer: Transfer) -> None:
        trace = TRACE_ID.search(transfer.data)
        if trace is None:
            return
        index, incarnation = (int(number) for number in transfer.destination[1:].split("."))
        self.context.record(
            AttemptForwarded(
                self.context.ms_before_now(transfer.unread_ms),
                node=transfer.source,
                trace=trace[1].decode(),
                server=f"s{index}-{incarnation}",
                zone=zone_of(index),
                cell=cell_of(index),
            )
        )

    def _observe_discovery(self, destination: str, data: bytes) -> None:
        _, separator, body = data.partition(END_OF_HEAD)
        if not separator:
            return
        try:
            answer: DiscoveryAnswer = msgspec.json.decode(body, type=DiscoveryAnswer)
        except msgspec.DecodeError:
            return  # the chunk does not hold a complete response
        for row in answer.instances:
            self.context.record(
                EndpointNotified(
                    self.context.now_ms(),
                    node=endpoint_of(destination),
                    server=row.id,
                    state=LIFECYCLE_STATES[row.lifecycle],
                )
            )
