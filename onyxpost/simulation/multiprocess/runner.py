"""One seed: processes started, the script played, what all wrote collected and judged. I/O."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from onyxpost.simulation.multiprocess import environments
from onyxpost.simulation.multiprocess.checker import Violation, check
from onyxpost.simulation.multiprocess.errors import ProcessNotReadyError
from onyxpost.simulation.multiprocess.fault_script import Fault, Script, encode
from onyxpost.simulation.multiprocess.link_faults import of, ways
from onyxpost.simulation.multiprocess.process_logs import written
from onyxpost.simulation.multiprocess.processes import Processes
from onyxpost.simulation.multiprocess.scenario import Scenario
from onyxpost.simulation.multiprocess.scenario_environment import Counts, Ground, opened

READY = 30.0  # s in which a process must listen, not counting time in which it is stopped
SETTLE = 1.0  # s without faults before all are told to leave
STARTS = 8  # processes that start at once
LAG = 15.0  # ms by which the rig's own loop, or a process, is late: that is recorded
LOOK = 25.0  # ms between looks
MEMORY = Path("/dev/shm")  # for files and logs: a slow disk is none of the faults


class Outcome(NamedTuple):
    script: Script
    violations: list[Violation]
    counts: Counts
    faults: dict[str, int]  # that were played, by kind
    lag: float  # ms, the worst

    def line(self) -> dict[str, Any]:
        found = [breach._asdict() for breach in self.violations]
        told = {"kind": "seed", "scenario": self.script.scenario, "seed": self.script.seed}
        size = {"nodes": self.script.nodes, "seconds": self.script.seconds, "plant": self.script.plant}
        rest = {"faults": self.faults, "lag_ms": round(self.lag, 1), "breaches": found}
        return {**told, **size, **self.counts, **rest}


class Conductor:
    def __init__(self, scenario: Scenario, script: Script, folder: Path) -> None:
        self.script, self.folder = script, folder
        self.ground = Ground(scenario, script.seed, folder, script.plant)
        self.stage = environments.made(self.ground)
        self.processes = self.ground.processes = Processes(folder, self.changed)
        self.ground.boot = self.boot
        self.locks = {f"n{i}": asyncio.Lock() for i in self.ground.numbers}
        self.played: Counter[str] = Counter()
        self.serving: set[str] = set()
        self.state: dict[str, str] = {}
        self.at_once = asyncio.Semaphore(STARTS)
        wrapped = (
            ["onyxpost.simulation.multiprocess.mutated_program", script.plant]
            if script.plant
            else ["onyxpost"]
        )
        self.words = ["-m", *wrapped, "serve"]

    def changed(self, name: str, what: str) -> None:
        self.state[name] = what
        if what == "serving":
            self.serving.add(name)
        elif what in ("killed", "terminated"):
            self.serving.discard(name)
        self.ground.record("process", node=name, what=what)

    async def boot(self, name: str) -> None:
        """Started if it is not there, and awaited until it listens, unless a fault kills it meanwhile."""
        async with self.locks[name], self.at_once:
            if not self.processes.runs(name):
                path = self.folder / f"{name}.json"
                path.write_bytes(msgspec.json.encode(self.stage.file(int(name[1:]))))
                await self.processes.start(name, self.words, {"EDGE_CONFIG": str(path)})
            left = READY
            while name not in self.serving and self.processes.runs(name) and left > 0.0:
                if name not in self.processes.stopped:
                    if await opened(self.ground.addresses[name]):
                        self.changed(name, "serving")
                        return
                    left -= 0.02
                await asyncio.sleep(0.02)
            if name not in self.serving and self.state[name] != "killed":
                raise ProcessNotReadyError(f"{name} does not listen", str(self.folder))

    async def run(self) -> Outcome:
        tasks: list[asyncio.Task[None]] = []
        try:
            await self.stage.open()
            async with asyncio.TaskGroup() as group:
                for name in self.locks:
                    group.create_task(self.boot(name))
            self.ground.began = time.monotonic()
            for event in self.ground.events:
                event["t"] = 0.0
            tasks += [asyncio.create_task(self.watch_lag())]
            faults = [asyncio.create_task(self.play(i, f)) for i, f in enumerate(self.script.faults)]
            tasks += faults
            await self.stage.beside(self.script.seconds)
            await asyncio.sleep(max(0.0, self.script.seconds - self.ground.now() / 1000.0))
            await self.settle(faults)
            return self.outcome()
        except ExceptionGroup as group_:
            raise group_.exceptions[0] from None
        finally:
            # What breaks from here on is only what is being closed.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            for task in tasks:
                task.cancel()
            await self.processes.end()
            await self.stage.close()
            await self.ground.relays.close()

    async def settle(self, faults: list[asyncio.Task[None]]) -> None:
        """What was broken heals, all run once more, and all leave in peace."""
        while self.processes.leaving:
            await asyncio.sleep(0.02)
        for task in faults:
            task.cancel()
        for done in await asyncio.gather(*faults, return_exceptions=True):
            if isinstance(done, Exception):
                raise done
        self.ground.relays.heal()
        for name in self.locks:
            self.processes.go_on(name)
        await asyncio.gather(*(self.boot(name) for name in self.locks))
        await asyncio.sleep(SETTLE)
        await asyncio.gather(*(self.processes.term(name) for name in self.locks))

    async def watch_lag(self) -> None:
        """What the machine, not a fault, held up: the rig's loop, and processes that waited for a core."""
        before: dict[tuple[str, int], float] = {}
        while True:
            due = self.ground.now() + LOOK
            await asyncio.sleep(LOOK / 1000.0)
            if (late := self.ground.now() - due) > LAG:
                self.ground.record("lag", ms=round(late, 1))
            for name in filter(self.processes.runs, self.locks):
                key, waited = (name, self.processes.lives[name]), self.processes.waited(name)
                late = waited - before.get(key, waited)
                before[key] = waited
                if late > LAG:
                    self.ground.record("lag", node=name, ms=round(late, 1))

    # Faults

    async def play(self, number: int, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at - self.ground.now() / 1000.0))
        self.played[fault.kind] += 1
        whom = ">".join(self.stage.whom(end) for end in fault.whom.split(">"))
        fault = msgspec.structs.replace(fault, whom=whom)
        self.ground.record("fault played", number=number, kind=fault.kind, whom=fault.whom, lasts=fault.lasts)
        processes, name = self.processes, fault.whom
        match fault.kind:
            case "stop":
                if processes.stop(name):
                    await asyncio.sleep(fault.lasts)
                    processes.go_on(name)
            case "kill":
                if await processes.kill(name):
                    await asyncio.sleep(fault.lasts)
                    await self.boot(name)
            case "term":
                if name in self.serving:  # one that just starts would not leave in peace
                    await processes.term(name)
                    await asyncio.sleep(fault.lasts)
                    await self.boot(name)
            case "all-killed":
                await asyncio.gather(*(processes.kill(one) for one in self.locks))
                await asyncio.sleep(fault.lasts)
                await asyncio.gather(*(self.boot(one) for one in self.locks))
            case "reset":
                self.ground.relays.reset(*name.split(">"))
            case "drain" | "slow" | "late-act" | "voters-killed":
                await self.stage.fault(fault)
            case _:
                await self.hinder(number, fault)

    async def hinder(self, number: int, fault: Fault) -> None:
        manner, servers = of(fault), [f"s{i}" for i in range(self.ground.scenario.servers)]
        hindered = [self.ground.relays.way(a, b) for a, b in ways(fault, list(self.locks), servers)]
        for way in hindered:
            way.put(number, manner)
        await asyncio.sleep(fault.lasts)
        for way in hindered:
            way.put(number, None)

    # What came of it

    def outcome(self) -> Outcome:
        unix = (time.time() - time.monotonic()) * 1000.0
        events = self.ground.events + written(self.folder, self.ground.began * 1000.0, unix)
        breaches = check(events, self.stage.judges(), self.script.seed)
        lag = max((float(e["ms"]) for e in events if e["event"] == "lag"), default=0.0)
        (self.folder / "script.json").write_bytes(encode(self.script))
        ordered = sorted(events, key=lambda e: float(e["t"]))
        (self.folder / "events.jsonl").write_bytes(b"".join(msgspec.json.encode(e) + b"\n" for e in ordered))
        counts, played = self.stage.counts(ordered), dict(sorted(self.played.items()))
        return Outcome(self.script, breaches, counts, played, lag)


async def _interruptible(conductor: Conductor) -> Outcome | None:
    """None: interrupted, and all processes are gone."""
    task = asyncio.create_task(conductor.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return None


def play(scenario: Scenario, script: Script, kept: Path | None = None) -> Outcome:
    """`kept`: where script, events, files and logs of a seed stay in which a rule was broken."""
    with tempfile.TemporaryDirectory(prefix="rig-", dir=MEMORY if MEMORY.is_dir() else None) as place:
        folder = Path(place)
        try:
            outcome = asyncio.run(_played(scenario, script, folder))
        except ProcessNotReadyError:
            _keep(folder, kept, script)
            raise
        if outcome is None:
            raise KeyboardInterrupt
        if outcome.violations:
            _keep(folder, kept, script)
        return outcome


async def _played(scenario: Scenario, script: Script, folder: Path) -> Outcome | None:
    return await _interruptible(Conductor(scenario, script, folder))


def _keep(folder: Path, kept: Path | None, script: Script) -> None:
    if kept is None:
        return
    place = kept / f"{script.scenario}-{script.seed}"
    shutil.rmtree(place, ignore_errors=True)
    place.mkdir(parents=True)
    for path in folder.iterdir():
        (place / path.name).write_bytes(path.read_bytes())
