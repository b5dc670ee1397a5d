"""What all parts of a run share: its scenario, clock, history, processes, addresses and fault proxies."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING

import msgspec

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.free_ports import LOOPBACK, NoFreePortsError
from onyxpost.simulation.multiprocess.endpoints import format_address
from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.fault_proxy import FaultProxy
from onyxpost.simulation.multiprocess.history import ProcessChanged
from onyxpost.simulation.multiprocess.node_processes import NodeProcesses
from onyxpost.simulation.multiprocess.port_reservation import PortReservation

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.config.address import Address
    from onyxpost.simulation.multiprocess.fault_script import FaultScript
    from onyxpost.simulation.multiprocess.history import HistoryEvent
    from onyxpost.simulation.multiprocess.scenario import Scenario
    from onyxpost.simulation.multiprocess.tcp_proxy import ByteObserver, Transfer
    from onyxpost.simulation.process_group import ProcessChange

PORTS_PER_NODE = 2


class RunContext:
    """The shared state of one run.

    A node's addresses are `n0` (clients), `n0/udp` (peers) and `n0/fleet` (cluster); see `endpoints.py`.

    Attributes:
        started_at: when all nodes served, in seconds of the monotonic clock.
        events: the history so far.
        addresses: real addresses by endpoint.
        processes: the nodes' processes.
        proxy: the links between endpoints.
    """

    def __init__(self, scenario: Scenario, script: FaultScript, folder: Path) -> None:
        self.scenario = scenario
        self.script = script
        self.folder = folder
        self.started_at = time.monotonic()
        self.events: list[HistoryEvent] = []
        self.addresses: dict[str, Address] = {}
        self.processes = NodeProcesses(folder, script.mutation, self.addresses, self._on_process_change)
        self.proxy = FaultProxy(self.addresses.get, self._observe_bytes, Random(f"{self.seed}/relays"))
        self._observer: ByteObserver | None = None
        self._ports = self._reserve_ports()
        self._assign_node_addresses()

    @property
    def seed(self) -> int:
        """The seed of the run."""
        return self.script.seed

    @property
    def node_indexes(self) -> range:
        """0, 1, ... for the nodes `n0`, `n1`, ..."""
        return range(self.scenario.nodes)

    @property
    def node_names(self) -> list[str]:
        """The names of all nodes."""
        return [f"n{index}" for index in self.node_indexes]

    def now_ms(self) -> float:
        """Milliseconds since the start, as events have it."""
        return round((time.monotonic() - self.started_at) * MS_PER_SECOND, 2)

    def ms_before_now(self, elapsed_ms: float) -> float:
        """Returns the time of something that happened so long ago; never before the start."""
        return round(max(0.0, self.now_ms() - elapsed_ms), 2)

    def now_seconds(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def start_clock(self) -> None:
        """All nodes serve: the run starts now, and what was before counts as of time 0."""
        self.started_at = time.monotonic()
        self.events = [msgspec.structs.replace(event, at_ms=0.0) for event in self.events]

    def record(self, event: HistoryEvent) -> None:
        """Adds an event to the history."""
        self.events.append(event)

    def observe_bytes(self, observer: ByteObserver) -> None:
        """Passes all bytes of TCP on to this observer."""
        self._observer = observer

    async def close(self) -> None:
        """Closes the proxies and gives the nodes' ports back; their processes must have ended."""
        await self.proxy.close()
        self._ports.release()

    async def sleep_until(self, seconds: float) -> None:
        """Waits for that time of the run."""
        await asyncio.sleep(max(0.0, seconds - self.now_seconds()))

    async def open_peer_proxies(self) -> list[list[str]]:
        """Returns for each node the datagram addresses of all, as it finds them; its own is the real one."""
        return [
            [await self._peer_address(index, peer) for peer in self.node_indexes]
            for index in self.node_indexes
        ]

    async def open_cluster_proxies(self) -> list[list[str]]:
        """Returns for each node the cluster addresses of all, as it finds them; its own is the real one."""
        return [
            [await self._cluster_address(index, peer) for peer in self.node_indexes]
            for index in self.node_indexes
        ]

    async def _peer_address(self, index: int, peer: int) -> str:
        if index == peer:
            return format_address(self.addresses[f"n{index}/udp"])
        return format_address(await self.proxy.udp.open(f"n{index}", f"n{peer}"))

    async def _cluster_address(self, index: int, peer: int) -> str:
        if index == peer:
            return format_address(self.addresses[f"n{index}/fleet"])
        return format_address(await self.proxy.tcp.open(f"n{index}", f"n{peer}/fleet"))

    def _reserve_ports(self) -> PortReservation:
        try:
            return PortReservation(PORTS_PER_NODE * self.scenario.nodes, Random(time.time_ns()))
        except NoFreePortsError as error:
            raise InvalidScenarioError(str(error)) from error

    def _assign_node_addresses(self) -> None:
        ports = self._ports.ports
        for index in self.node_indexes:
            address = LOOPBACK, ports[PORTS_PER_NODE * index]
            self.addresses[f"n{index}"] = address
            self.addresses[f"n{index}/udp"] = address
            self.addresses[f"n{index}/fleet"] = LOOPBACK, ports[PORTS_PER_NODE * index + 1]

    def _on_process_change(self, node: str, change: ProcessChange) -> None:
        self.record(ProcessChanged(self.now_ms(), node=node, change=change))

    def _observe_bytes(self, transfer: Transfer) -> None:
        if self._observer is not None:
            self._observer(transfer)
