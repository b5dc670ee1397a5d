"""Starts the nodes' processes, waits until they serve, and signals them. I/O."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.simulation.multiprocess.errors import ProcessNotReadyError
from onyxpost.simulation.process_group import ProcessChange, ProcessGroup

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

    from onyxpost.config.address import Address

READY_TIMEOUT_SECONDS = 30.0  # from start to listening; time in which the process is paused does not count
READY_POLL_SECONDS = 0.02
CONCURRENT_STARTS = 8
PROGRAM = "onyxpost"
MUTATED_PROGRAM = "onyxpost.simulation.multiprocess.mutated_program"


class NodeProcesses:
    """The processes of all nodes, by name of the node.

    Args:
        folder: the folder for the nodes' files and logs.
        mutation: the mutation that is injected into the nodes; empty for none.
        addresses: the address at which each node listens for clients.
        on_change: is called with the node's name at each change of its process.
    """

    def __init__(
        self,
        folder: Path,
        mutation: str,
        addresses: Mapping[str, Address],
        on_change: Callable[[str, ProcessChange], None],
    ) -> None:
        self.folder = folder
        self.addresses = addresses
        self.on_change = on_change
        self.group = ProcessGroup(folder, self._apply_change)
        program = [MUTATED_PROGRAM, mutation] if mutation else [PROGRAM]
        self._arguments = ["-m", *program, "serve"]
        self._files: dict[str, dict[str, Any]] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._starts = asyncio.Semaphore(CONCURRENT_STARTS)
        self._serving: set[str] = set()
        self._last_change: dict[str, ProcessChange] = {}

    @property
    def names(self) -> list[str]:
        """The names of all nodes that have a file."""
        return list(self._files)

    def set_file(self, name: str, fields: dict[str, Any]) -> None:
        """Sets the fields of the node's file, which is written before each start."""
        self._files[name] = fields
        self._locks[name] = asyncio.Lock()

    def is_serving(self, name: str) -> bool:
        """Whether the node has listened since its start, and was not killed or sent SIGTERM after that."""
        return name in self._serving

    async def start(self, name: str) -> None:
        """Starts a node unless it runs, and waits until it listens or a fault kills it.

        Raises:
            ProcessNotReadyError: the process did not listen in time, or exited by itself.
        """
        async with self._locks[name], self._starts:
            if not self.group.is_running(name):
                path = self.folder / f"{name}.json"
                path.write_bytes(msgspec.json.encode(self._files[name]))
                await self.group.start(name, self._arguments, {"EDGE_CONFIG": str(path)})
            await self._wait_until_serving(name)
            if name not in self._serving and self._last_change[name] is not ProcessChange.KILLED:
                raise ProcessNotReadyError(
                    f"the process of {name} exited, or did not listen in time", str(self.folder)
                )

    async def start_all(self) -> None:
        """Starts all nodes that do not run; see `start`."""
        await asyncio.gather(*(self.start(name) for name in self.names))

    async def kill_all(self) -> None:
        """Kills all nodes at once."""
        await asyncio.gather(*(self.group.kill(name) for name in self.names))

    async def terminate_all(self) -> None:
        """Terminates all nodes at once."""
        await asyncio.gather(*(self.group.terminate(name) for name in self.names))

    async def _wait_until_serving(self, name: str) -> None:
        remaining_seconds = READY_TIMEOUT_SECONDS
        while name not in self._serving and self.group.is_running(name) and remaining_seconds > 0.0:
            if not self.group.is_paused(name):
                # If the process has ended in the meantime, the connection was to another process.
                if await is_listening(self.addresses[name]) and self.group.is_running(name):
                    self._apply_change(name, ProcessChange.SERVING)
                    return
                remaining_seconds -= READY_POLL_SECONDS
            await asyncio.sleep(READY_POLL_SECONDS)

    def _apply_change(self, name: str, change: ProcessChange) -> None:
        self._last_change[name] = change
        if change is ProcessChange.SERVING:
            self._serving.add(name)
        elif change in (ProcessChange.KILLED, ProcessChange.TERMINATING):
            self._serving.discard(name)
        self.on_change(name, change)


async def is_listening(address: Address) -> bool:
    """Whether a process accepts connections at the address."""
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True
