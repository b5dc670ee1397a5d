"""Incoming connections, with a limit on those whose peer has not sent its hello yet."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from onyxpost.cluster.connection import READ_BUFFER_BYTES, RunConnection
from onyxpost.cluster.errors import ClusterError, WrongDialerError
from onyxpost.cluster.unidentified_connections import MAX_ACCEPTS_PER_TURN, UnidentifiedConnections
from onyxpost.runtime.http1 import limit_read_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.cluster.handshake import Handshake
    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Listener, Transport

MAX_UNIDENTIFIED = 64  # limit of connections without a hello; a further one aborts the oldest


class PeerListener:
    """Accepts connections of members whose name is lower than this node's."""

    def __init__(
        self,
        network: Transport,
        handshake: Handshake,
        run_connection: RunConnection,
        on_rejected: Callable[[ClusterError], None],
    ) -> None:
        self._network = network
        self._handshake = handshake
        self._run_connection = run_connection
        self._on_rejected = on_rejected
        self._is_stopped = False
        self.server: Listener | None = None
        self.unidentified = UnidentifiedConnections()

    async def listen(self, address: Address) -> None:
        """Listens at the address. Raises OSError or ListenError if it cannot be bound."""
        self.server = await self._network.listen(
            self._serve, address, READ_BUFFER_BYTES, MAX_ACCEPTS_PER_TURN
        )

    def stop(self) -> None:
        """Rejects further connections; the address stays bound and established connections stay open."""
        self._is_stopped = True

    def close(self) -> None:
        """Stops listening and releases the address."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.unidentified.add(writer, MAX_UNIDENTIFIED)
        limit_read_size(writer, READ_BUFFER_BYTES)
        try:
            hello = await self._handshake.receive_hello(reader)
            # `unidentified` may have aborted the connection before its hello was read.
            if self._is_stopped or writer.transport.is_closing():
                return
            if hello.sender > self._handshake.own_name:
                raise WrongDialerError(
                    f"connected to {self._handshake.own_name}, which has the lower name and must dial",
                    hello.sender,
                )
            self.unidentified.discard(writer)
            self._handshake.send_hello(writer, hello.sender, hello.dial_number)
            await self._run_connection(hello, reader, writer)
        except ClusterError as err:
            self._on_rejected(err)
        except (OSError, EOFError, asyncio.CancelledError):
            # The change of the peer's state is logged elsewhere. Cancellation is not propagated, because the
            # callback of asyncio's streams would log a cancelled task as an error.
            pass
        finally:
            self.unidentified.discard(writer)
            with contextlib.suppress(OSError):
                writer.transport.abort()
