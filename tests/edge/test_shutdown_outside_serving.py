"""SIGTERM and SIGHUP before a node serves and after its event loop has ended.

A signal that is not handled at these times would end the process without exit code 0.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from onyxpost.edge.discovery_client import DiscoveryClient
from tests.edge.event_loop import in_event_loop
from tests.edge.harness import RunningNode
from tests.edge.shutdown_steps import send_sigterm

if TYPE_CHECKING:
    from pathlib import Path


ACCEPT_SECONDS = 0.05  # time of accepting after SIGTERM, which is 0.6 s without the fixture
SIGNALS_AFTER_THE_LOOP = """
import asyncio, signal
from onyxpost.runtime.socket_transport import SocketTransport

async def main():
    transport = SocketTransport()
    transport.install_signal_handlers(lambda: None, lambda: None)
    transport.ignore_signals()

asyncio.run(main())
for number in (signal.SIGTERM, signal.SIGHUP):
    signal.raise_signal(number)
"""


def test_sigterm_while_the_file_is_still_being_read_exits_with_0(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    os.mkfifo(path)
    environ = {**os.environ, "EDGE_CONFIG": str(path)}
    with subprocess.Popen([sys.executable, "-m", "onyxpost", "serve"], env=environ) as process:
        write_end = None
        while write_end is None and process.poll() is None:
            with contextlib.suppress(OSError):  # the process has not opened the file for reading yet
                write_end = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        process.terminate()
        if write_end is not None:
            os.close(write_end)  # ends a read that began right after the signal
        assert process.wait() == 0


def test_signals_after_the_event_loop_has_ended_change_nothing() -> None:
    assert subprocess.run([sys.executable, "-c", SIGNALS_AFTER_THE_LOOP], check=False).returncode == 0


@pytest.mark.usefixtures("short_accept_time")
@in_event_loop
async def test_a_node_that_is_starting_accepts_nothing_and_exits_at_once() -> None:
    is_waiting = asyncio.Event()

    async def wait_forever(_discovery: DiscoveryClient, _timeout_ms: float) -> None:
        is_waiting.set()
        await asyncio.Event().wait()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(DiscoveryClient, "wait_for_first_answer", wait_forever)
        edge = RunningNode(("127.0.0.1", 9))
        running = asyncio.get_running_loop().create_task(edge.node.run())
        await is_waiting.wait()
        send_sigterm()
        assert await asyncio.wait_for(running, 5.0) == 0
    assert edge.node.clients.listener.server is None
    assert b"serving" not in edge.log_output.getvalue()
