"""I/O of one planner: connections to forwarders, timer, signals; `LeaseCoordinator` has the decisions."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
from typing import TYPE_CHECKING

from onyxpost.cluster.errors import MalformedFrameError
from onyxpost.cluster.frames import has_buffer_space
from onyxpost.cluster.unidentified_connections import MAX_ACCEPTS_PER_TURN, UnidentifiedConnections
from onyxpost.errors import InvalidInputError
from onyxpost.planner import protocol
from onyxpost.planner.errors import SlowReaderError
from onyxpost.planner.lease_coordinator import LeaseCoordinator
from onyxpost.runtime.socket_transport import SocketTransport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from onyxpost.planner.config import PlannerConfig
    from onyxpost.runtime.structured_log import StructuredLog
    from onyxpost.runtime.transport import Listener, Transport

TICK_SECONDS = 0.05
STATISTICS_INTERVAL_MS = 10_000.0
HELLO_TIMEOUT_SECONDS = 2.0
SILENCE_TIMEOUT_SECONDS = 10.0  # a connection that receives nothing for this long is closed
READ_BUFFER_BYTES = 65_536
# Connections that have not sent their hello yet may exceed the number of forwarders by this many; beyond that
# the oldest one is aborted.
MAX_EXTRA_UNIDENTIFIED = 64


class Planner:
    """One planner process. All its state is in memory; `epoch` identifies its incarnation."""

    def __init__(
        self,
        config: PlannerConfig,
        structured_log: StructuredLog,
        reload_config: Callable[[], PlannerConfig],
        transport: Transport | None = None,
        epoch: str | None = None,
    ) -> None:
        self.structured_log = structured_log
        self.reload_config = reload_config
        self.transport: Transport = transport or SocketTransport()
        self.coordinator = LeaseCoordinator(
            config, epoch or secrets.token_hex(8), self.transport.clock(), self._log
        )
        self.writers: dict[str, asyncio.StreamWriter] = {}  # by forwarder
        self.unidentified = UnidentifiedConnections()
        self.listener: Listener | None = None

    @property
    def config(self) -> PlannerConfig:
        """The current configuration, which a reload replaces."""
        return self.coordinator.config

    def _log(self, event: str, /, **fields: object) -> None:
        self.structured_log.write(self.transport.clock(), event, fields)

    def _log_warning(self, event: str, /, **fields: object) -> None:
        self.structured_log.write(self.transport.clock(), event, fields, logging.WARNING)

    # Process

    async def run(self) -> int:
        """Serves until SIGTERM; returns the exit code."""
        stop_requested = asyncio.Event()
        self.transport.install_signal_handlers(stop_requested.set, self.reload)
        self.listener = await self.transport.listen(
            self._handle_connection, self.config.listen, READ_BUFFER_BYTES, MAX_ACCEPTS_PER_TURN
        )
        self._log(
            "phase", phase="serving", epoch=self.coordinator.epoch, version=self.config.membership_version
        )
        tick_task = asyncio.get_running_loop().create_task(self._run_ticks())
        await stop_requested.wait()
        self._log("phase", phase="stopped", **self.coordinator.statistics())
        tick_task.cancel()
        self.transport.ignore_signals()
        self.close()
        return 0

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self.listener is not None:
            self.listener.close()
        for forwarder in list(self.writers):
            self.writers.pop(forwarder).transport.abort()
        self.unidentified.abort_all()

    def reload(self) -> None:
        """Reads the file again and applies it; an error is logged, and the current configuration stays."""
        try:
            config = self.reload_config()
            revocations = self.coordinator.update_config(self.transport.clock(), config)
        except InvalidInputError as error:
            self._log_warning("reload refused", **error.log_fields())
            return
        for forwarder in self.writers.keys() - set(config.forwarders):
            self.writers.pop(forwarder).transport.abort()
        self._send_all(revocations)
        self._log(
            "reloaded",
            version=config.membership_version,
            plans=len(config.plans),
            revoked=len(revocations),
        )

    async def _run_ticks(self) -> None:
        logged_at_ms = self.transport.clock()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now_ms = self.transport.clock()
            self.coordinator.tick(now_ms)
            if now_ms - logged_at_ms >= STATISTICS_INTERVAL_MS:
                logged_at_ms = now_ms
                self._log("lease statistics", **self.coordinator.statistics())

    # Connections

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        forwarder = ""
        self.unidentified.add(writer, len(self.config.forwarders) + MAX_EXTRA_UNIDENTIFIED)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                first_message = await protocol.read_forwarder_message(reader)
            if writer.transport.is_closing():
                return  # aborted by `close`, or as the oldest connection without a hello
            hello = self._check_hello(first_message)
            forwarder = hello.forwarder
            self._register(hello, writer)
            await self._receive_messages(forwarder, reader, writer)
        except MalformedFrameError as error:
            self._log_warning("forwarder connection closed", forwarder=forwarder, **error.log_fields())
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the forwarder disconnected, or this planner stops; neither is a fault
        finally:
            self._remove_connection(forwarder, writer)

    def _check_hello(self, message: protocol.ForwarderMessage) -> protocol.Hello:
        if not isinstance(message, protocol.Hello) or message.protocol != protocol.PROTOCOL_VERSION:
            raise MalformedFrameError(
                f"first message is not a hello of protocol version {protocol.PROTOCOL_VERSION},"
                f" got {type(message).__name__}"
            )
        if message.forwarder not in self.config.forwarders:
            raise MalformedFrameError(
                f"forwarder {message.forwarder} is not listed in `forwarders` of this planner's file"
            )
        return message

    def _register(self, hello: protocol.Hello, writer: asyncio.StreamWriter) -> None:
        """Answers a hello and aborts a previous connection of the same forwarder."""
        self.unidentified.discard(writer)
        previous = self.writers.pop(hello.forwarder, None)
        if previous is not None:
            previous.transport.abort()
        self.writers[hello.forwarder] = writer
        welcome = self.coordinator.handle_hello(self.transport.clock(), hello)
        writer.write(protocol.encode_frame(welcome))

    async def _receive_messages(
        self, forwarder: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                message = await protocol.read_forwarder_message(reader)
            # Requests and heartbeats on a replaced connection are ignored, because the current one has later
            # ones. Usage reports and returns on it count, because forwarders send each of them only once.
            is_current = self.writers.get(forwarder) is writer
            if is_current or isinstance(message, protocol.UsageReport | protocol.LeaseReturn):
                self._send_all(self.coordinator.handle_message(self.transport.clock(), forwarder, message))

    def _remove_connection(self, forwarder: str, writer: asyncio.StreamWriter) -> None:
        self.unidentified.discard(writer)
        if forwarder and self.writers.get(forwarder) is writer:
            del self.writers[forwarder]
            self.coordinator.handle_disconnect(forwarder)
        with contextlib.suppress(OSError):
            writer.transport.abort()

    def _send_all(self, messages: Iterable[protocol.AddressedMessage]) -> None:
        for recipient, message in messages:
            self._send(recipient, message)

    def _send(self, forwarder: str, message: protocol.Message) -> None:
        """Sends without waiting; aborts the connection if the forwarder reads too slowly."""
        writer = self.writers.get(forwarder)
        if writer is None:
            return
        writer.write(protocol.encode_frame(message))
        if not has_buffer_space(writer, 0):
            error = SlowReaderError("forwarder does not read its messages; the send buffer is full")
            self._log_warning("forwarder connection closed", forwarder=forwarder, **error.log_fields())
            writer.transport.abort()
