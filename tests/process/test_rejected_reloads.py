"""Reloads of files that are invalid or older than the one in force.

The process must log the error with its remedy, apply no part of the file, and continue with the configuration
in force.
"""

from __future__ import annotations

import asyncio
import io
import signal
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost import errors
from onyxpost.planner import config
from onyxpost.planner.errors import RestartRequiredError
from onyxpost.planner.planner import Planner
from onyxpost.runtime.structured_log import StructuredLog
from tests.edge.harness import RunningNode, node_fields
from tests.process.operator_errors import PLANNER_FIELDS, rejected_reload_lines

if TYPE_CHECKING:
    from onyxpost.errors import OperatorError


@pytest.mark.parametrize(
    ("changed", "error_type", "path"),
    [
        ({"listen": 7}, errors.InvalidValueError, "$.listen"),
        (
            {"planners": {"version": 2, "members": PLANNER_FIELDS["planners"]["members"]}},
            errors.StaleVersionError,
            "$.planners.version",
        ),
    ],
)
def test_a_node_rejects_an_unusable_or_older_file_at_sighup_and_goes_on_as_before(
    changed: dict[str, Any], error_type: type[OperatorError], path: str
) -> None:
    async def run() -> None:
        members = PLANNER_FIELDS["planners"]["members"]
        async with RunningNode(planners={"version": 3, "members": members}) as edge:
            before = edge.node.config
            edge.reload_fields = node_fields(discovery="127.0.0.1:2", limits={"sockets": 99}, **changed)
            signal.raise_signal(signal.SIGHUP)
            async with asyncio.timeout(5.0):
                while not rejected_reload_lines(edge.log_output):
                    await asyncio.sleep(0.001)
            (line,) = rejected_reload_lines(edge.log_output)
            assert path in line["cause"]
            assert (line["level"], line["remedy"]) == ("warning", error_type.remedy)
            assert edge.node.config is before
            assert edge.node.discovery.address == before.discovery

    asyncio.run(run(), debug=True)


@pytest.mark.parametrize(
    ("changed", "error_type"),
    [
        (PLANNER_FIELDS, errors.StaleVersionError),
        ({"lease_ms": 700.0}, RestartRequiredError),
        ({"forwarders": 1}, errors.InvalidValueError),
    ],
)
def test_a_planner_rejects_what_it_cannot_reload_and_goes_on_as_before(
    changed: dict[str, Any], error_type: type[OperatorError]
) -> None:
    fields = PLANNER_FIELDS | {"planners": PLANNER_FIELDS["planners"] | {"version": 2}}
    node = config.decode_config(fields)
    out = io.BytesIO()
    lines = StructuredLog("p0", out=io.TextIOWrapper(out, write_through=True))
    planner = Planner(node, lines, lambda: config.decode_config(fields | changed))
    planner.reload()
    assert rejected_reload_lines(out)[-1]["remedy"] == error_type.remedy
    assert planner.config is node
