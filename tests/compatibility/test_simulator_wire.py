"""Pins the simulator's wire: recorded batches go through the real program, and its replies must be the same.

Each transcript in `data/simulator_wire_*.jsonl.xz` holds a batch and the reply to it on alternate lines. All
actions are compared with their order, values and encoding. If the text of "Emit", a log line, is reworded,
`REWORDED` maps the recorded text to the current one.
The data was recorded from the build before the renaming, and never changes; see `record_http_and_wire.py`.
"""

from __future__ import annotations

import json
import lzma
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[2]
DATA = Path(__file__).parent / "data"
TRANSCRIPTS = sorted(DATA.glob("simulator_wire_*.jsonl.xz"))
MIN_ACTIONS = {
    "SubmitTo": 1500, "Reject": 500, "EndFailed": 20, "UndoSend": 40, "Post": 100, "After": 500,
    "KeepInformed": 4,
}  # fmt: skip
RESULT_CODES = {"delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"}
# Words of recorded log lines and the current ones in their place.
REWORDED = (
    (b" passed over: ", b" ejected: "),
    (b' open again"', b' circuit breaker closed"'),
    (b'"shedding on theta=', b'"shedding started: theta='),
    (b'"shedding off theta=', b'"shedding stopped: theta='),
)
GOOD_BATCH = b'{"at_time_us":0,"news":[]}\n'


def simulator_command() -> list[str]:
    """How the simulator starts the program; the only place of this module that names the product."""
    return [sys.executable, "-m", "onyxpost.simulator_host"]


def run_simulator(batches: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(simulator_command(), input=batches, capture_output=True, cwd=ROOT, timeout=60)


def read_transcript(path: Path) -> tuple[list[bytes], list[bytes]]:
    """Its batches and the replies to them."""
    lines = lzma.decompress(path.read_bytes()).splitlines(keepends=True)
    return lines[0::2], lines[1::2]


def current_wording(reply: bytes) -> bytes:
    """The recorded reply with its log lines in their current words."""
    if b'"Emit"' in reply:
        for before, now in REWORDED:
            reply = reply.replace(before, now)
    return reply


def count(lines: list[bytes], key: str) -> Counter[str]:
    """How many of each action or event there are."""
    return Counter(name for line in lines for item in json.loads(line)[key] for name in item)


@pytest.mark.parametrize("path", TRANSCRIPTS, ids=lambda path: path.name.split(".")[0])
def test_replies_are_the_same_line_by_line(path: Path) -> None:
    batches, expected = read_transcript(path)
    ran = run_simulator(b"".join(batches))
    replies = ran.stdout.splitlines(keepends=True)
    assert (ran.returncode, ran.stderr, len(replies)) == (0, b"", len(expected))
    for number, (reply, wanted) in enumerate(zip(replies, expected, strict=True), 1):
        assert reply == current_wording(wanted), f"reply {number} of {path.name}"


def test_transcripts_hold_every_kind_of_action_and_result() -> None:
    actions: Counter[str] = Counter()
    results: set[str] = set()
    for path in TRANSCRIPTS:
        batches, replies = read_transcript(path)
        actions += count(replies, "output")
        events = [item for line in batches for item in json.loads(line)["news"]]
        results |= {item["Completed"]["rc"] for item in events if "Completed" in item}
    assert {name: number for name, number in MIN_ACTIONS.items() if actions[name] < number} == {}
    assert results == RESULT_CODES
    assert actions["Bug"] == 0


def batch(**event: Any) -> bytes:
    return json.dumps({"at_time_us": 0, "news": [event]}).encode() + b"\n"


@pytest.mark.parametrize(
    "line",
    [
        b"\n",
        b"nonsense\n",
        b'{"at_time_us":0,"news":[\n',
        b"[]\n",
        b"{}\n",
        b'{"at_time_us":0}\n',
        b'{"news":[]}\n',
        b'{"at_time_us":"0","news":[]}\n',
        b'{"at_time_us":0,"news":[{}]}\n',
        b'{"at_time_us":0,"news":[1]}\n',
        batch(Unheard={"node_id": 0}),
        batch(Accept={"node_id": 0}),
        batch(Accept={}),
        batch(Completed={"node_id": 0, "ref": "1", "rc": "unheard"}),
        batch(Sync={"node_id": 0, "scope": 1, "rows": [{}]}),
        batch(Sync={"node_id": 0, "scope": 1, "rows": [{"server": "s", "condition": 7}]}),
        batch(TimeoutFired={"node_id": 0}),
        batch(Message={"node_id": 0}),
        batch(Attach={"node_id": 0}),
        batch(Attach={"node_id": 0, "params": {}, "init_seed": 1}),
    ],
)
def test_malformed_line_ends_the_program_with_exit_code_2(line: bytes) -> None:
    ran = run_simulator(GOOD_BATCH + line + GOOD_BATCH)
    assert (ran.returncode, ran.stdout) == (2, b'{"output":[]}\n')
    assert ran.stderr.count(b"\n") == 1


def test_end_of_input_ends_the_program_with_exit_code_0() -> None:
    ran = run_simulator(b"")
    assert (ran.returncode, ran.stdout, ran.stderr) == (0, b"", b"")
