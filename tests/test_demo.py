"""The first look that the README promises: as a newcomer runs it, and before servers that are of no use."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from onyxpost.simulation import demo
from onyxpost.simulation.stub_upstreams import Stand
from onyxpost.simulation.stubs import ServerBehavior

pytestmark = pytest.mark.xdist_group("quiet")  # a process of its own, and a quota that fills meanwhile
WORDS = [sys.executable, "-m", "onyxpost.simulation.demo"]


def test_reqs_are_passed_and_one_over_its_quota_denied_and_nothing_is_left() -> None:
    found = subprocess.run(
        WORDS, capture_output=True, text=True, timeout=60.0, env=os.environ | {"EDGE_LISTEN": "nowhere"}
    )
    assert (found.returncode, found.stderr) == (0, ""), found
    lines = found.stdout.splitlines()
    asked = [line for line in lines if "units:" in line]
    assert ["200 passed" in line for line in asked[:2]] == [True, True]
    assert any("429 denied" in line and "Retry-After: " in line for line in asked)
    assert "200 passed" in asked[-1] and lines[-1] == "all ended"
    assert refused(int(lines[0].split("127.0.0.1:")[1].split(",")[0]))


def test_it_says_so_where_a_req_was_not_passed() -> None:
    place, said = Stand(1, 5.0, 0, ("127.0.0.1", 0)), list[str]()
    place.servers[0].behavior = ServerBehavior.FAIL
    assert not asyncio.run(demo.play(place, said.append))
    assert said[-1].startswith("not as it should be")


def test_stopped_midway_it_ends_its_node_too() -> None:
    with subprocess.Popen(WORDS, stdout=subprocess.PIPE, text=True) as running:
        assert running.stdout is not None
        port = int(running.stdout.readline().split("127.0.0.1:")[1].split(",")[0])
        running.send_signal(signal.SIGTERM)
        assert running.wait(20.0) == 1
        assert refused(port)


def refused(port: int) -> bool:
    try:
        asyncio.run(asyncio.wait_for(demo.ask(port, "/healthz", []), 5.0))
    except ConnectionRefusedError:
        return True
    return False
