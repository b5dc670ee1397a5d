"""Stand-in app servers and discovery on loopback for one node, with faults scripted in a TOML file."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from onyxpost.config.address import Address
from onyxpost.config.decoding import read_json_file
from onyxpost.core.types import EndpointState
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.errors import InvalidFaultScriptError, ResultsNotWrittenError, SimulationFileError
from onyxpost.simulation.stubs import AppServer, DiscoveryAgent, Malformation, NullObserver, ServerBehavior

Kind = Literal["hang", "fail", "busy", "drop", "slow", "spoil", "drain", "crash", "discovery-silent"]


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    at_s: Annotated[float, Meta(ge=0.0)]
    kind: Kind
    for_s: Annotated[float, Meta(gt=0.0)] = 1.0
    server: Annotated[int, Meta(ge=0)] = 0
    delay_ms: Annotated[float, Meta(ge=0.0)] = 1000.0  # of a slow one


class Script(msgspec.Struct, forbid_unknown_fields=True):
    faults: list[Fault] = []


def script(path: Path, servers: int) -> Script:
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=Script)
    except msgspec.DecodeError as err:
        raise InvalidFaultScriptError(str(err), str(path)) from err
    except OSError as err:
        raise SimulationFileError(str(err.strerror), str(path)) from err
    for i, fault in enumerate(told.faults):
        if fault.server >= servers:
            why = f"there are {servers} servers, numbered from 0"
            raise InvalidFaultScriptError(f"{why} - at `$.faults[{i}].server`", str(path))
    return told


class Stand:
    """What one node speaks to, on addresses of 127.0.0.1."""

    def __init__(self, servers: int, delay: float, first_port: int, discovery: Address) -> None:
        self.net, self.first_port = SocketTransport(), first_port
        self.agent = DiscoveryAgent(self.net, NullObserver(), 0, discovery)
        self.servers = [self.server(number, 0, delay) for number in range(servers)]
        self.tasks: set[asyncio.Task[Any]] = set()

    def server(self, number: int, life: int, delay: float) -> AppServer:
        port = self.first_port + number if self.first_port else 0
        server = AppServer(self.net, NullObserver(), number, life, ("127.0.0.1", port), "ab"[number % 2])
        server.latency_ms = delay
        return server

    async def open(self) -> None:
        for server in self.servers:
            await self.listen(server)
        await self.agent.open()
        assert self.agent.listener is not None
        self.agent.address = self.agent.listener.sockets[0].getsockname()

    async def listen(self, server: AppServer) -> None:
        await server.open()
        assert server.listener is not None
        server.address = server.listener.sockets[0].getsockname()
        self.agent.update_endpoint(server.endpoint_row())

    def known(self) -> dict[str, Any]:
        return {"generation": self.agent.generation, "instances": list(self.agent.endpoints.values())}

    def play(self, told: Script, log: Callable[[str], None]) -> None:
        loop = asyncio.get_running_loop()
        for fault in told.faults:
            loop.call_later(fault.at_s, self.begin, fault, log)

    def begin(self, fault: Fault, log: Callable[[str], None]) -> None:
        log(f"{fault.kind} at server {fault.server} for {fault.for_s:g} s")
        server, loop = self.servers[fault.server], asyncio.get_running_loop()
        match fault.kind:
            case "slow":
                before, server.latency_ms = server.latency_ms, fault.delay_ms
                loop.call_later(fault.for_s, setattr, server, "latency_ms", before)
            case "spoil":
                server.malformations += Malformation
            case "discovery-silent":
                self.agent.is_silent = True
                loop.call_later(fault.for_s, setattr, self.agent, "is_silent", False)
            case "drain" | "crash":
                if fault.kind == "drain":
                    server.state = EndpointState.DRAINING
                    self.agent.update_endpoint(server.endpoint_row())
                elif server.listener is not None:
                    server.listener.close()
                loop.call_later(fault.for_s, self.renew, fault.server)
            case how:
                server.behavior = ServerBehavior(how)
                loop.call_later(fault.for_s, setattr, server, "behavior", ServerBehavior.SERVE)

    def renew(self, number: int) -> None:
        old = self.servers[number]
        if old.listener is not None:
            old.listener.close()
        old.state = EndpointState.GONE
        self.agent.update_endpoint(old.endpoint_row())
        new = self.servers[number] = self.server(number, old.incarnation + 1, old.latency_ms)
        new.address, new.started_at_ms = ("127.0.0.1", 0), time.time() * 1000.0
        task = asyncio.get_running_loop().create_task(self.listen(new))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def write_node(example: Path, out: Path, stand: Stand) -> None:
    """The example node's file, with these stand-ins as its discovery and its known list."""
    fields = read_json_file(str(example))
    fields |= {"discovery": "{}:{}".format(*stand.agent.address), "known": stand.known()}
    try:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(fields)))
    except OSError as err:
        raise ResultsNotWrittenError(str(err.strerror), str(out)) from err


async def run(
    stand: Stand, told: Script, seconds: float, ready: Callable[[], None], log: Callable[[str], None]
) -> int:
    await stand.open()
    ready()
    stand.play(told, log)
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(seconds)
    return sum(server.served_count for server in stand.servers)
