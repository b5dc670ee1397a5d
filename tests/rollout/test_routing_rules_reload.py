"""A node whose file names a rules file: its start, SIGHUP, and requests in flight during a reload."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost.node.serve import serve
from onyxpost.policy.gateway import Gateway
from onyxpost.rollout.routing_rules.errors import (
    ConflictingRulesError,
    InvalidRulesError,
    StaleRulesError,
    UnknownNameError,
)
from tests.edge.harness import RunningNode, StubAppServer, encode_request, node_fields

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from onyxpost.errors import OperatorError

APPLIED = "routing rules applied"
REJECTED = "routing rules rejected"
UNUSED_SERVER = ("127.0.0.1", 9)


def rules_text(version: int, *zones: str) -> str:
    servers = f'servers = {{zones = {list(zones)}, fallbacks = ["any"]}}'
    return f"version = {version}\nrules = [{{plans = ['basic'], {servers}}}]"


@pytest.fixture
def rules_path(tmp_path: Path) -> Path:
    return tmp_path / "rules.toml"


def node_fields_with_rules(
    rules_path: Path, *servers: tuple[str, int], **other_fields: Any
) -> dict[str, Any]:
    """The fields of a node's file that names the rules file; its servers are in the zones a, a and b."""
    fields = node_fields(*servers, rules=str(rules_path), **other_fields)
    for row, zone in zip(fields["known"]["instances"], "aab", strict=False):
        row["zone"] = zone
    return fields


def log_lines(edge: RunningNode) -> list[dict[str, Any]]:
    return [json.loads(line) for line in edge.log_output.getvalue().splitlines()]


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.001)


async def reload(edge: RunningNode) -> list[dict[str, Any]]:
    """Sends SIGHUP; returns the log lines about routing rules once the node has reloaded its file."""
    lines_before = len(log_lines(edge))
    signal.raise_signal(signal.SIGHUP)
    await wait_until(lambda: any(line["event"] == "reloaded" for line in log_lines(edge)[lines_before:]))
    await asyncio.sleep(0)
    return [line for line in log_lines(edge)[lines_before:] if line["event"].startswith("routing rules")]


@pytest.mark.parametrize(
    ("rules", "cause"), [(rules_text(1, "z"), "`$.rules[0].servers.zones`"), (None, "No such file")]
)
def test_unusable_rules_at_the_start_are_one_line_and_exit_2(
    rules: str | None,
    cause: str,
    tmp_path: Path,
    rules_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    if rules is not None:
        rules_path.write_text(rules)
    node_file = tmp_path / "node.json"
    fields = node_fields_with_rules(rules_path, UNUSED_SERVER)
    node_file.write_text(json.dumps(fields | {"rules": "rules.toml"}))
    monkeypatch.setenv("EDGE_CONFIG", str(node_file))
    assert serve() == 2
    assert re.fullmatch(rf"onyxpost: {rules_path}: .*{re.escape(cause)}.*\)\n", capsys.readouterr().err)


async def check_path_is_rejected(rules_path: Path, path: str) -> None:
    async with RunningNode(UNUSED_SERVER) as edge:
        fields = node_fields_with_rules(rules_path, UNUSED_SERVER, discovery="127.0.0.1:3")
        edge.reload_fields = fields | {"rules": path}
        (line,) = await reload(edge)
        assert line["event"] == REJECTED
        assert edge.node.config.discovery == ("127.0.0.1", 3)


def test_a_path_with_a_zero_byte_is_rejected(rules_path: Path) -> None:
    asyncio.run(check_path_is_rejected(rules_path, f"{rules_path}\0"))


def test_a_pipe_that_nobody_writes_to_is_rejected_and_does_not_block(
    rules_path: Path, tmp_path: Path
) -> None:
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    asyncio.run(check_path_is_rejected(rules_path, str(pipe)))


def test_a_folder_is_rejected(rules_path: Path, tmp_path: Path) -> None:
    asyncio.run(check_path_is_rejected(rules_path, str(tmp_path)))


async def check_reloads(edge: RunningNode, rules_path: Path) -> None:
    """Checks that invalid, conflicting and stale rules are rejected, and that a later version is applied."""
    steps: list[tuple[str, type[OperatorError] | None]] = [
        (rules_text(2, "z"), UnknownNameError),
        ("version", InvalidRulesError),
        (rules_text(1, "b"), ConflictingRulesError),
        (rules_text(2, "b"), None),
        (rules_text(1, "a"), StaleRulesError),
    ]
    for rules, error in steps:
        in_force = edge.node.routing_rules
        rules_path.write_text(rules)
        (line,) = await reload(edge)
        assert line["event"] == (APPLIED if error is None else REJECTED)
        if error is not None:
            assert (line["kind"], line["remedy"]) == (error.__name__, error.remedy)
            assert edge.node.routing_rules is in_force
    assert line["version in force"] == 2


async def send_request(edge: RunningNode) -> bytes:
    """Sends a request on a new connection; returns the status line of the response."""
    reader, writer = await asyncio.open_connection(*edge.address)
    writer.write(encode_request(trace="t2"))
    status_line = await asyncio.wait_for(reader.readline(), 5.0)
    writer.close()
    return status_line


async def check_later_version(rules_path: Path) -> None:
    rules_path.write_text(rules_text(1, "a"))
    async with StubAppServer(None) as first_in_a, StubAppServer(None) as second_in_a, StubAppServer() as in_b:
        fields = node_fields_with_rules(rules_path, first_in_a.address, second_in_a.address, in_b.address)
        async with RunningNode(**fields) as edge:
            edge.writer.write(encode_request(trace="t1"))
            await wait_until(lambda: len(first_in_a.received_heads) + len(second_in_a.received_heads) == 1)
            edge.reload_fields = fields
            await check_reloads(edge, rules_path)
            assert b"200" in await send_request(edge)
            used, unused = (
                (first_in_a, second_in_a) if first_in_a.received_heads else (second_in_a, first_in_a)
            )
            assert (len(unused.received_heads), len(in_b.received_heads)) == (0, 1)
            unused.answers = []
            used.writers[0].close()  # the retry uses the rules of the first attempt
            assert b"200" in (await edge.answer())[0]
            assert (len(unused.received_heads), len(in_b.received_heads)) == (1, 1)


def test_a_later_version_applies_to_new_requests_and_not_to_those_in_flight(rules_path: Path) -> None:
    asyncio.run(check_later_version(rules_path))


async def check_first_rules(rules_path: Path) -> None:
    async with RunningNode(UNUSED_SERVER) as edge:
        edge.reload_fields = node_fields_with_rules(rules_path, UNUSED_SERVER, discovery="127.0.0.1:3")
        for rules, event in ((None, REJECTED), ("x", REJECTED), (rules_text(1, "a"), APPLIED)):
            if rules is not None:
                rules_path.write_text(rules)
            assert [line["event"] for line in await reload(edge)] == [event]
            assert edge.node.config.discovery == ("127.0.0.1", 3)
        assert edge.node.routing_rules is not None
        gateway = edge.node.state_machine.decision_maker
        assert isinstance(gateway, Gateway)
        await wait_until(lambda: gateway.state.rules is edge.node.routing_rules)


def test_the_first_rules_may_come_by_sighup_and_rejected_ones_stop_nothing_else(rules_path: Path) -> None:
    asyncio.run(check_first_rules(rules_path))


async def check_removed_key(rules_path: Path) -> None:
    rules_path.write_text(rules_text(1, "a"))
    fields = node_fields_with_rules(rules_path, UNUSED_SERVER)
    async with RunningNode(**fields) as edge:
        without_rules = {key: value for key, value in fields.items() if key != "rules"}
        edge.reload_fields = without_rules | {"discovery": "127.0.0.1:3"}
        assert await reload(edge) == []
        (line,) = [line for line in log_lines(edge) if line["event"] == "reloaded"]
        assert (line["after restart"], line["discovery"]) == (["rules"], "127.0.0.1:3")
        assert edge.node.routing_rules is not None


def test_removing_the_key_keeps_the_rules_until_a_restart_and_is_logged(rules_path: Path) -> None:
    asyncio.run(check_removed_key(rules_path))
