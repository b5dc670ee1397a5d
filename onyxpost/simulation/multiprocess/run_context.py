"""The shared state of a run: scenario, clock, history, processes, addresses and fault proxies. I/O."""

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

    The addresses of a node are named `n0` (clients), `n0/udp` (peers) and `n0/fleet` (cluster).

    Attributes:
        started_at_seconds: the time at which all nodes were serving, on the monotonic clock.
        events: the history so far.
        addresses: real addresses by name; see `endpoints.py`.
        processes: the nodes' processes.
        proxy: the fault proxies and links between endpoints.
    """

    def __init__(self, scenario: Scenario, script: FaultScript, folder: Path) -> None:
        self.scenario = scenario
        self.script = script
        self.folder = folder
        self.started_at_seconds = time.monotonic()
        self.events: list[HistoryEvent] = []
        self.addresses: dict[str, Address] = {}
        self.processes = NodeProcesses(folder, script.mutation, self.addresses, self._on_process_change)
        self.proxy = FaultProxy(self.addresses.get, self._observe_bytes, Random(f"{self.seed}/relays"))
        self._observer: ByteObserver | None = None
        self._ports = self._reserve_ports()
        self._assign_node_addresses()

    @property
    def seed(self) -> int:
        """The seed of the fault script."""
        return self.script.seed

    @property
    def node_indexes(self) -> range:
        """The indexes of all nodes: 0 for `n0`, 1 for `n1`."""
        return range(self.scenario.nodes)

    @property
    def node_names(self) -> list[str]:
        """The names of all nodes."""
        return [f"n{index}" for index in self.node_indexes]

    def now_ms(self) -> float:
        """Returns the time for an event: milliseconds since the start, with two decimals."""
        return round((time.monotonic() - self.started_at_seconds) * MS_PER_SECOND, 2)

    def ms_before_now(self, elapsed_ms: float) -> float:
        """Returns the time for an event of `elapsed_ms` ago, but never a time before the start."""
        return round(max(0.0, self.now_ms() - elapsed_ms), 2)

    def now_seconds(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_at_seconds

    def start_clock(self) -> None:
        """Starts the run's clock, once all nodes are serving; earlier events get time 0."""
        self.started_at_seconds = time.monotonic()
        self.events = [msgspec.structs.replace(event, at_ms=0.0) for event in self.events]

    def record(self, event: HistoryEvent) -> None:
        """Adds an event to the history."""
        self.events.append(event)

    def observe_bytes(self, observer: ByteObserver) -> None:
        """Sets the observer of all bytes of TCP; replaces an earlier one."""
        self._observer = observer

    async def close(self) -> None:
        """Closes the proxies and releases the nodes' ports; the nodes' processes must have ended."""
        await self.proxy.close()
        self._ports.release()

    async def sleep_until(self, seconds: float) -> None:
        """Sleeps until this time since the start; returns at once if it has passed."""
        await asyncio.sleep(max(0.0, seconds - self.now_seconds()))

    async def open_peer_proxies(self) -> list[list[str]]:
        """Opens fault proxies for datagrams between all nodes.

        Returns:
            for each node, the addresses at which it reaches all nodes; its own address is the real one.
        """
        return [
            [await self._peer_address(index, peer) for peer in self.node_indexes]
            for index in self.node_indexes
        ]

    async def open_cluster_proxies(self) -> list[list[str]]:
        """Opens fault proxies for cluster connections between all nodes.

        Returns:
            for each node, the addresses at which it reaches all nodes; its own address is the real one.
        """
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
