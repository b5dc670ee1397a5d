"""Runs an edge node in a thread, with a simulation whose event loop is late in each turn."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import threading
import time
from typing import TYPE_CHECKING

from onyxpost.core.types import Idempotency
from onyxpost.simulation.deterministic.deployment import MAX_REQUEST_UNITS
from onyxpost.simulation.free_ports import ANY_PORT, LOOPBACK
from onyxpost.simulation.multiprocess.edge_environment import EdgeEnvironment
from onyxpost.simulation.multiprocess.fault_script import FaultScript
from onyxpost.simulation.multiprocess.lag_monitor import monitor_lag
from onyxpost.simulation.multiprocess.load_generator import LoadGenerator
from onyxpost.simulation.multiprocess.run_context import RunContext
from onyxpost.simulation.multiprocess.scenario import load_scenario, with_size

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from onyxpost.config.address import Address
    from onyxpost.simulation.multiprocess.checker import Invariant
    from onyxpost.simulation.multiprocess.history import HistoryEvent

SEED = 3
SECONDS = 1.0
TURN_DELAY_SECONDS = 0.06  # delay of each turn of the event loop
SOCKET_TIMEOUT_SECONDS = 5.0
MAX_HEAD_BYTES = 65536
TRACE_ID = re.compile(rb"x-trace-id: ([^\r\n]+)", re.IGNORECASE)
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def send_attempt(trace: bytes, proxy: Address) -> socket.socket:
    """Sends an attempt to the app server through the proxy; returns the connection."""
    connection = socket.create_connection(proxy, SOCKET_TIMEOUT_SECONDS)
    connection.sendall(b"GET / HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace + b"\r\n\r\n")
    return connection


class ThreadedNode:
    """The node `n0`, which accepts clients and handles each request in its own thread.

    Args:
        handle: is called with the client's connection, the trace id and the app server's proxy address.
        proxy: the address of the app server's proxy.
    """

    def __init__(self, handle: Callable[[socket.socket, bytes, Address], None], proxy: Address) -> None:
        self._handle = handle
        self._proxy = proxy
        self._listener = socket.create_server(ANY_PORT)
        self.address: Address = self._listener.getsockname()
        self._threads = [threading.Thread(target=self._accept)]
        self._threads[0].start()

    def close(self) -> None:
        """Stops listening, and waits until all requests are handled."""
        self._listener.shutdown(socket.SHUT_RDWR)
        while self._threads:
            self._threads.pop(0).join()
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # raised by `accept` after the shutdown
            while True:
                client, _ = self._listener.accept()
                thread = threading.Thread(target=self._serve, args=(client,))
                self._threads.append(thread)
                thread.start()

    def _serve(self, client: socket.socket) -> None:
        with client, contextlib.suppress(OSError):  # the simulation aborts connections
            client.settimeout(SOCKET_TIMEOUT_SECONDS)
            trace = TRACE_ID.search(client.recv(MAX_HEAD_BYTES))
            if trace is not None:
                self._handle(client, trace[1], self._proxy)


async def record_history(
    handle: Callable[[socket.socket, bytes, Address], None], folder: Path
) -> tuple[list[HistoryEvent], Invariant]:
    """Runs load under a late event loop; returns the history, and the invariants of edge nodes."""
    scenario = with_size(load_scenario("edge-cuts"), 1, SECONDS)
    context = RunContext(scenario, FaultScript("edge-cuts", SEED, 1, SECONDS, []), folder)
    environment = EdgeEnvironment(context)
    frontends = [
        frontend
        for frontend in environment.deployment.frontends
        if frontend.idempotency is Idempotency.IDEMPOTENT
    ]
    server = await asyncio.start_server(lambda _reader, _writer: None, LOOPBACK, 0)
    context.addresses["s0.0"] = server.sockets[0].getsockname()
    node = ThreadedNode(handle, await context.proxy.tcp.open("n0", "s0.0"))
    context.addresses["n0"] = node.address
    context.start_clock()
    background_tasks = [asyncio.create_task(monitor_lag(context)), asyncio.create_task(_delay_each_turn())]
    try:
        await LoadGenerator(context, frontends, MAX_REQUEST_UNITS).run(SECONDS)
        await asyncio.sleep(SECONDS)
    finally:
        for task in background_tasks:
            task.cancel()
        await asyncio.to_thread(node.close)
        server.close()
        await context.close()
    _, edge_invariants = environment.invariants()
    return context.events, edge_invariants


async def _delay_each_turn() -> None:
    while True:
        time.sleep(TURN_DELAY_SECONDS)  # noqa: ASYNC251 - blocks the event loop on purpose
        await asyncio.sleep(0)
