"""The stage `duties`: nodes that hold duties and act on one taker, each by a relay of its own. No reqs."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence
from typing import Any

from onyxpost.leadership.service_log import LEASE_ACQUIRED, RECORD_COMMITTED
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.deterministic.cluster import SETTINGS
from onyxpost.simulation.multiprocess import leadership_invariants
from onyxpost.simulation.multiprocess.checker import Event, Judge, faults
from onyxpost.simulation.multiprocess.fault_proxy import Manner
from onyxpost.simulation.multiprocess.fault_script import VOTERS, Fault
from onyxpost.simulation.multiprocess.fenced_resource import Taker
from onyxpost.simulation.multiprocess.leadership_eras import Eras
from onyxpost.simulation.multiprocess.leadership_failover import handed, words_a_second
from onyxpost.simulation.multiprocess.leadership_mutations import CARELESS
from onyxpost.simulation.multiprocess.scenario_environment import Counts, Ground, text
from onyxpost.simulation.stubs import DiscoveryAgent, NullObserver

ACT = re.compile(rb"POST /acts/(\S+) .*?\r\nfence: (\d+)\r\n", re.IGNORECASE | re.DOTALL)
SKEW = 200.0  # ms
EVERY = 200.0  # ms between a holder's acts
LATER = 3.0  # s more in which another holder may come to act, before what is held up is let go
HELD_UP = 1_000_000  # number of a late act's manner: after those of the script


class DutyStage(NullObserver):
    def __init__(self, ground: Ground) -> None:
        self.ground = ground
        self.duties = [f"d{i}" for i in range(max(1, ground.scenario.duties))]
        self.lease = ground.scenario.lease_s * 1000.0
        self.taker = Taker(self.record, careless=ground.plant == CARELESS)
        self.agent = DiscoveryAgent(SocketTransport(), self, 0, ("127.0.0.1", 0))
        self.holders: dict[str, str] = {}  # whose act was taken last
        self.sent: dict[str, int] = {}  # pieces of acts that each node's relay took
        self.late = 0
        self.files: list[dict[str, Any]] = []
        ground.hear = self.heard

    def record(self, event: str, **fields: Any) -> None:
        if event == "act" and fields["accepted"]:
            self.holders[fields["duty"]] = fields["holder"]
        self.ground.record(event, **fields)

    def heard(self, a: str, b: str, data: bytes, passed: bool) -> None:
        if b == "s0" and not passed:
            self.sent[a] = self.sent.get(a, 0) + 1
            if (act := ACT.search(data)) is not None:
                self.ground.record("act sent", node=a, duty=act[1].decode(), fence=int(act[2]))

    async def open(self) -> None:
        ground, numbers = self.ground, self.ground.numbers
        ground.addresses["s0"] = await self.taker.open()
        self.agent.update_endpoint(
            {
                "instanceId": "s-1",
                "hostPort": "127.0.0.1:9",
                "zone": "a",
                "cell": 0,
                "lifecycle": "up",
                "startedAtMs": 0,
            }
        )
        await self.agent.open()
        assert self.agent.listener is not None
        discovery = text(self.agent.listener.sockets[0].getsockname())
        fleet, udp = await ground.fleet(), [text(ground.addresses[f"n{i}/udp"]) for i in numbers]
        for i in numbers:
            duties = {
                "version": 1,
                "voters": [f"n{j}" for j in range(min(VOTERS, len(numbers)))],
                "names": self.duties,
                "lease_ms": self.lease,
                "drift": 0.01,
                "skew_ms": SKEW,
                "acts": text(await ground.relays.tcp(f"n{i}", "s0")),
                "act_ms": EVERY,
            }
            members = {f"n{j}": fleet[i][j] for j in numbers}
            self.files.append(
                {
                    "name": f"n{i}",
                    "listen": text(ground.addresses[f"n{i}"]),
                    "discovery": discovery,
                    "seed": f"{ground.seed * 1000 + i:x}",
                    "limits": {"sockets": 512},
                    "peer_listen": udp[i],
                    "peers": [udp[i]],
                    "known": {
                        "generation": self.agent.generation,
                        "instances": list(self.agent.endpoints.values()),
                    },
                    "settings": SETTINGS | {"ordinal": 0, "n_instances": 1},
                    "fleet": {
                        "version": 1,
                        "listen": text(ground.addresses[f"n{i}/fleet"]),
                        "members": members,
                    },
                    "duties": duties,
                }
            )

    def file(self, number: int) -> dict[str, Any]:
        return self.files[number]

    async def beside(self, seconds: float) -> None:
        """Holders act by themselves."""

    def whom(self, place: str) -> str:
        if not place.startswith("h"):
            return place
        number = int(place[1:])
        return self.holders.get(self.duties[number % len(self.duties)], f"n{number % len(self.files)}")

    # Faults

    async def fault(self, fault: Fault) -> None:
        if fault.kind == "voters-killed":
            voters = [i for i in range(min(VOTERS, len(self.files))) if f"n{i}" != fault.whom]
            await asyncio.gather(*(self.kill(i, fault) for i in voters))
        elif fault.kind == "late-act":
            await self.late_act(fault)

    async def kill(self, number: int, fault: Fault) -> None:
        """All of them within `more` of a lease."""
        await asyncio.sleep(fault.more * self.lease / 1000.0 * number / VOTERS)
        if await self.ground.processes.kill(f"n{number}"):
            await asyncio.sleep(fault.lasts)
            await self.ground.boot(f"n{number}")

    async def late_act(self, fault: Fault) -> None:
        """An act is on its way as its holder stops; it comes once another has acted."""
        name, processes = fault.whom, self.ground.processes
        held = [duty for duty, holder in self.holders.items() if holder == name]
        way, before = self.ground.relays.way(name, "s0"), self.sent.get(name, 0)
        self.late += 1
        number = HELD_UP + self.late
        way.put(number, Manner(stall=True))
        try:
            await self.until(lambda: self.sent.get(name, 0) > before, 3.0 * EVERY / 1000.0)
            if processes.stop(name):
                await asyncio.sleep(fault.lasts)
                await self.until(lambda: all(self.holders[duty] != name for duty in held), LATER)
        finally:
            way.put(number, None)
            await asyncio.sleep(0.05)
            processes.go_on(name)

    async def until(self, true: Any, seconds: float) -> None:
        end = self.ground.now() + seconds * 1000.0
        while not true() and self.ground.now() < end:
            await asyncio.sleep(0.01)

    # The end

    def judges(self) -> Sequence[Judge]:
        voters = [f"n{i}" for i in range(min(VOTERS, len(self.files)))]
        return faults, *leadership_invariants.JUDGES, Eras(voters, 3.0 * (self.lease + SKEW))

    def counts(self, events: Sequence[Event]) -> Counts:
        kinds = [str(e["event"]) for e in events]
        told: Counts = {
            "held": kinds.count(LEASE_ACQUIRED),
            "wrote": kinds.count(RECORD_COMMITTED),
            "acts": self.taker.acts,
            "refused_by_fence": self.taker.refused,
            "words_a_second": words_a_second(events),
        }
        for kind, times in handed(events, self.lease).items():
            told[f"{kind}_ms"] = sorted(times)
        return told

    async def close(self) -> None:
        self.taker.close()
        if self.agent.listener is not None:
            self.agent.listener.close()
        for writer in list(self.agent.writers):
            writer.transport.abort()
