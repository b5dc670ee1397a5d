"""The demonstration of the README succeeds as a command, reports failed requests, and stops its node."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from onyxpost.simulation import demo
from onyxpost.simulation.free_ports import ANY_PORT
from onyxpost.simulation.stub_upstreams import StubEnvironment
from onyxpost.simulation.stubs import ServerBehavior

pytestmark = pytest.mark.xdist_group("quiet")  # starts a process; in a slow run the quota would refill

COMMAND = [sys.executable, "-m", "onyxpost.simulation.demo"]


def node_port(first_line: str) -> int:
    return int(first_line.split("127.0.0.1:")[1].split(",")[0])


def is_connection_refused(port: int) -> bool:
    try:
        asyncio.run(asyncio.wait_for(demo.get(port, demo.HEALTH_CHECK, []), 5.0))
    except ConnectionRefusedError:
        return True
    return False


def test_only_the_request_over_its_quota_is_rejected_and_no_process_is_left() -> None:
    finished = subprocess.run(
        COMMAND,
        capture_output=True,
        text=True,
        timeout=60.0,
        env=os.environ | {"EDGE_LISTEN": "nowhere"},
        check=False,
    )
    assert (finished.returncode, finished.stderr) == (0, ""), finished
    lines = finished.stdout.splitlines()
    answers = [line for line in lines if "units:" in line]
    assert ["200 passed" in line for line in answers[:2]] == [True, True]
    assert any("429 denied" in line and "Retry-After: " in line for line in answers)
    assert "200 passed" in answers[-1]
    assert lines[-1] == "all ended"
    assert is_connection_refused(node_port(lines[0]))


def test_a_failed_request_is_reported() -> None:
    environment = StubEnvironment(1, 5.0, 0, ANY_PORT)
    environment.servers[0].behavior = ServerBehavior.FAIL
    lines: list[str] = []
    assert not asyncio.run(demo.run_demo(environment, lines.append))
    assert lines[-1] == "a request was not answered as expected: see above"


def test_a_terminated_demonstration_stops_its_node() -> None:
    with subprocess.Popen(COMMAND, stdout=subprocess.PIPE, text=True) as running:
        assert running.stdout is not None
        port = node_port(running.stdout.readline())
        running.send_signal(signal.SIGTERM)
        assert running.wait(20.0) == 1
        assert is_connection_refused(port)
