"""The load generator sends requests to servers on loopback with known latencies and answers."""

import asyncio
import contextlib
from dataclasses import replace
from typing import Any

import pytest

from onyxpost.config.deployment import Deployment
from onyxpost.node import config
from onyxpost.simulation.errors import InvalidSimulationInputError
from onyxpost.simulation.load import LoadGenerator, LoadOptions, check_options, require_loopback
from tests.edge.harness import UPSTREAM_ANSWER, StubAppServer, node_fields

pytestmark = pytest.mark.xdist_group("quiet")  # measures time; socket-heavy tests would disturb it

STALL_SECONDS = 0.3
VALID_OPTIONS = LoadOptions(rate=10.0, seconds=10.0, customers=3, connections=10, seed=1)


def deployment_with_long_timeouts(*names: str) -> Deployment:
    """Returns a deployment with the named frontends, or all, whose client timeouts outlast a busy machine."""
    deployment = config.decode_config(node_fields()).deployment
    frontends = [frontend for frontend in deployment.frontends if not names or frontend.name in names]
    return replace(
        deployment, frontends=[replace(frontend, client_timeout_ms=30_000.0) for frontend in frontends]
    )


def test_a_stall_is_visible_in_the_latency_of_every_request_that_it_delayed() -> None:
    """Guards against coordinated omission, where a latency is measured only from the time of sending."""

    async def answer_late_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stall_seconds = STALL_SECONDS
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(stall_seconds)
                stall_seconds = 0.0
                writer.write(UPSTREAM_ANSWER)

    async def scenario() -> None:
        server = await asyncio.start_server(answer_late_once, "127.0.0.1", 0)
        options = LoadOptions(rate=100.0, seconds=0.4, customers=3, connections=1, seed=7)
        address = server.sockets[0].getsockname()
        results = await LoadGenerator(address, deployment_with_long_timeouts("check"), options).run()
        server.close()
        assert results.outcomes["passed"] > 20
        assert results.latencies_us["all"].get_value_at_percentile(50) > 100_000
        assert results.connections_opened == 1

    asyncio.run(scenario())


def test_each_kind_of_answer_has_its_own_outcome() -> None:
    rejection = b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"
    answers = [
        (UPSTREAM_ANSWER, False),
        (rejection, False),
        (rejection.replace(b"429", b"502"), False),
        (b"", True),
    ]
    options = LoadOptions(rate=200.0, seconds=0.2, customers=3, connections=1, seed=7)

    async def scenario() -> None:
        async with StubAppServer(*answers * 100) as server:
            results = await LoadGenerator(server.address, deployment_with_long_timeouts(), options).run()
        assert set(results.outcomes) == {"passed", "denied", "aborted", "cut"}
        lines = results.to_lines(options)
        assert [lines[0]["kind"], lines[-1]["kind"]] == ["load", "total"]
        by_second = sum(sum(outcomes.values()) for outcomes in results.outcomes_by_second)
        assert sum(results.outcomes.values()) == by_second

    asyncio.run(scenario())


@pytest.mark.parametrize("host", ["10.0.0.1", "192.168.0.1", "example.org", "0.0.0.0"])
def test_an_address_that_is_not_on_loopback_is_rejected(host: str) -> None:
    with pytest.raises(InvalidSimulationInputError):
        require_loopback((host, 80))


@pytest.mark.parametrize(
    "changes",
    [{"rate": 0.0}, {"seconds": 1e9}, {"rate": 1e9}, {"connections": 0}, {"seconds": float("nan")}],
    ids=str,
)
def test_load_out_of_bounds_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidSimulationInputError):
        check_options(VALID_OPTIONS._replace(**changes))
