"""Reads from proxied bytes which attempts nodes send, and what discovery tells them. No I/O."""

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

TRACE_ID = re.compile(rb"x-trace-id: ([^\r\n]+)", re.IGNORECASE)
LIFECYCLE_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}
END_OF_HEAD = b"\r\n\r\n"


class EndpointRow(msgspec.Struct, frozen=True):
    """An app server in an answer of discovery."""

    id: str = msgspec.field(name="instanceId")
    lifecycle: str


class DiscoveryAnswer(msgspec.Struct, frozen=True):
    """The body of an answer of discovery."""

    instances: list[EndpointRow]


class EdgeTrafficObserver:
    """Records events of the traffic between nodes and stubs."""

    def __init__(self, context: RunContext) -> None:
        self.context = context

    def observe(self, source: str, destination: str, data: bytes, stage: TransferStage) -> None:
        """Receives all bytes of TCP from the fault proxy.

        A request counts when the proxy has received it, an answer of discovery when it was passed on.
        """
        if destination.startswith("s") and stage is TransferStage.RECEIVED:
            self._observe_request(source, destination, data)
        elif source.startswith("d") and stage is TransferStage.FORWARDED:
            self._observe_discovery(destination, data)

    def _observe_request(self, node: str, destination: str, data: bytes) -> None:
        trace = TRACE_ID.search(data)
        if trace is None:
            return
        index, incarnation = (int(number) for number in destination[1:].split("."))
        self.context.record(
            AttemptForwarded(
                self.context.now_ms(),
                node=node,
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
            return  # not a complete answer
        for row in answer.instances:
            self.context.record(
                EndpointNotified(
                    self.context.now_ms(),
                    node=endpoint_of(destination),
                    server=row.id,
                    state=LIFECYCLE_STATES[row.lifecycle],
                )
            )
