"""Outgoing connections; in each pair of members the one with the lower name dials."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from onyxpost.cluster.connection import READ_BUFFER_BYTES, RunConnection
from onyxpost.cluster.errors import MemberNameMismatchError
from onyxpost.cluster.failure_detector import GONE_TIMEOUT_MS
from onyxpost.cluster.reconnect import ReconnectBackoff, reconnect_forever
from onyxpost.runtime.http1 import limit_read_size

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from onyxpost.cluster.handshake import Handshake
    from onyxpost.runtime.transport import Transport

CONNECT_TIMEOUT_SECONDS = 1.0


class Dialer:
    """Keeps a connection open to each member whose name is higher than this node's."""

    def __init__(
        self,
        network: Transport,
        handshake: Handshake,
        run_connection: RunConnection,
        on_dial_ended: Callable[[str, Exception | None], None],
    ) -> None:
        self._network = network
        self._handshake = handshake
        self._run_connection = run_connection
        self._on_dial_ended = on_dial_ended
        self._connected_since_ms: dict[str, float] = {}
        self._is_stopped = False
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.dial_count = 0

    def start(self, member: str) -> None:
        """Starts to dial a member, unless it is being dialed already or it dials this node."""
        own_name = self._handshake.own_name
        if member in self.tasks or member < own_name:
            return
        backoff = ReconnectBackoff(f"{own_name}/{member}")
        connecting = reconnect_forever(partial(self._dial, member), partial(self._on_ended, member, backoff))
        self.tasks[member] = asyncio.get_running_loop().create_task(connecting)

    def cancel(self, member: str) -> None:
        """Stops dialing a member and ends the connection that was dialed to it."""
        if (task := self.tasks.pop(member, None)) is not None:
            task.cancel()

    def cancel_except(self, members: Container[str]) -> None:
        """Stops dialing all members except the given ones, and ends the connections dialed to them."""
        for member, task in self.tasks.items():
            if member not in members:
                task.cancel()

    def cancel_all(self) -> None:
        """Stops dialing all members and ends all dialed connections."""
        self.cancel_except(())

    def stop(self) -> None:
        """Opens no further connections; established ones stay open."""
        self._is_stopped = True

    async def _dial(self, member: str) -> None:
        """Dials a member and runs the connection until it ends.

        Raises:
            ClusterError: the handshake or the connection failed.
            OSError, EOFError: the connection could not be established, timed out or ended.
        """
        if self._is_stopped:
            return
        self.dial_count += 1
        dial_number = self.dial_count
        address = self._handshake.membership.members[member]
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer, *_ = await self._network.dial(address, READ_BUFFER_BYTES)
        limit_read_size(writer, READ_BUFFER_BYTES)
        try:
            self._handshake.send_hello(writer, member, dial_number)
            hello = await self._handshake.receive_hello(reader)
            if hello.sender != member:
                raise MemberNameMismatchError(
                    f"expected this member at the dialed address, got {hello.sender}", member
                )
            self._connected_since_ms[member] = self._network.clock()
            await self._run_connection(hello, reader, writer)
        finally:
            writer.transport.abort()

    def _on_ended(self, member: str, backoff: ReconnectBackoff, cause: Exception | None) -> float:
        self._on_dial_ended(member, cause)
        now_ms = self._network.clock()
        if now_ms - self._connected_since_ms.pop(member, now_ms) >= GONE_TIMEOUT_MS:
            backoff.reset()
        return backoff.next_delay_seconds()
