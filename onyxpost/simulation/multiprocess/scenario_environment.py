"""What a stage is, and the ground on which it plays: places, relays between them, and what is recorded."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from random import Random
from typing import Any, Protocol

from onyxpost.simulation.multiprocess.checker import Event, Judge
from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.fault_proxy import Address, Heard, Relays
from onyxpost.simulation.multiprocess.fault_script import Fault
from onyxpost.simulation.multiprocess.processes import Processes
from onyxpost.simulation.multiprocess.scenario import Scenario

PORTS = (10_000, 30_000)  # below those that the system gives to who dials: a restarted node needs its own


def free_ports(count: int, chance: Random) -> list[int]:
    """Free for TCP and for datagrams."""
    found: list[int] = []
    for _ in range(100 * count):
        port = chance.randrange(*PORTS)
        if port in found:
            continue
        with socket.socket() as one, socket.socket(type=socket.SOCK_DGRAM) as other:
            try:
                one.bind(("127.0.0.1", port))
                other.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise InvalidScenarioError(f"no {count} free ports from {PORTS[0]} to {PORTS[1]} on 127.0.0.1")


Counts = dict[str, int | list[int]]


class Ground:
    """Places are `n0..` (nodes), `s0..` (app servers, lives as `s0.1`), `d0..` (discovery of each)."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, plant: str = "") -> None:
        self.scenario, self.seed, self.folder, self.plant = scenario, seed, folder, plant
        self.processes: Processes  # for the faults that a stage plays
        self.boot: Callable[[str], Awaitable[None]]
        self.began = time.monotonic()
        self.events: list[Event] = []
        self.addresses: dict[str, Address] = {}
        self.hear: Heard = lambda a, b, data, passed: None
        self.relays = Relays(self.addresses.get, lambda *what: self.hear(*what), Random(f"{seed}/relays"))
        ports = free_ports(2 * scenario.nodes, Random(time.time_ns()))
        for i in self.numbers:
            self.addresses[f"n{i}"] = self.addresses[f"n{i}/udp"] = ("127.0.0.1", ports[2 * i])
            self.addresses[f"n{i}/fleet"] = ("127.0.0.1", ports[2 * i + 1])

    @property
    def numbers(self) -> range:
        return range(self.scenario.nodes)

    def now(self) -> float:
        return (time.monotonic() - self.began) * 1000.0

    def record(self, event: str, **fields: Any) -> None:
        self.events.append({"t": round(self.now(), 2), "event": event, **fields})

    async def peers(self) -> list[list[str]]:
        """For each node the datagram addresses of all, its own among them."""
        pairs = [(i, j) for i in self.numbers for j in self.numbers if i != j]
        made = {(i, j): await self.relays.udp(f"n{i}", f"n{j}") for i, j in pairs}
        own = {(i, i): self.addresses[f"n{i}/udp"] for i in self.numbers}
        return [[text((made | own)[i, j]) for j in self.numbers] for i in self.numbers]

    async def fleet(self) -> list[list[str]]:
        """For each node the `fleet_listen` addresses of all, as it finds them; its own is the real one."""
        return [
            [
                text(
                    await self.relays.tcp(f"n{i}", f"n{j}/fleet") if i != j else self.addresses[f"n{i}/fleet"]
                )
                for j in self.numbers
            ]
            for i in self.numbers
        ]


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class Stage(Protocol):
    """What is played. `open` once before any process is started; `beside` runs as long as the faults do."""

    async def open(self) -> None: ...
    def file(self, number: int) -> dict[str, Any]: ...  # of node `number`, written before each of its lives
    async def beside(self, seconds: float) -> None: ...  # load, takers, clients
    def whom(self, place: str) -> str: ...  # the node that a place as `h0` means now
    async def fault(self, fault: Fault) -> None: ...  # what only the stage can do
    def judges(self) -> Sequence[Judge]: ...
    def counts(self, events: Sequence[Event]) -> Counts: ...  # of the run, in order of time
    async def close(self) -> None: ...


async def opened(address: Address) -> bool:
    """Does anybody listen there?"""
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True
