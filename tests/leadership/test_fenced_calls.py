"""Fenced calls of leaders on the virtual network."""

import asyncio
from random import Random

import pytest

from onyxpost.leadership.errors import FencedCallError, HigherFencingTokenError, NotLeaderError
from onyxpost.leadership.fenced_call import FencedCall, execute
from onyxpost.leadership.leadership_log import RECORD_COMMITTED
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.virtual_cluster import FENCED_RESOURCE_ADDRESS, VirtualCluster
from tests.leadership.cluster import READ_BYTES, TIMEOUT_MS, FencedResource, run_cluster

ROLE = "d0"


@pytest.fixture
def resource() -> FencedResource:
    return FencedResource()


async def call_as(cluster: VirtualCluster, name: str) -> None:
    await cluster.nodes[name].leadership.call(FENCED_RESOURCE_ADDRESS, ROLE, b"x", TIMEOUT_MS)


def test_calls_have_the_token_and_a_higher_one_ends_the_leadership(resource: FencedResource) -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        await resource.listen(cluster)
        (leader,) = cluster.leaders_of(ROLE)
        service = cluster.nodes[leader].leadership
        other = next(name for name in cluster.nodes if name != leader)
        await call_as(cluster, leader)
        assert resource.accepted == [service.fencing_token(ROLE)]
        with pytest.raises(NotLeaderError):
            await call_as(cluster, other)
        resource.is_stuck = True
        with pytest.raises(FencedCallError):
            await call_as(cluster, leader)
        resource.is_stuck = False
        resource.highest += 100
        with pytest.raises(HigherFencingTokenError):
            await call_as(cluster, leader)
        assert service.fencing_token(ROLE) is None
        await call_as(cluster, await cluster.wait_for_leader(ROLE))
        assert resource.rejected == 1
        assert len(resource.accepted) == 2

    run_cluster(scenario)


def test_a_lease_that_ends_while_the_call_connects_sends_nothing(resource: FencedResource) -> None:
    """Without the check before the write, a former leader would call the resource with its old token."""

    async def scenario(cluster: VirtualCluster) -> None:
        await resource.listen(cluster)
        (leader,) = cluster.leaders_of(ROLE)
        calling = asyncio.ensure_future(call_as(cluster, leader))
        await asyncio.sleep(0.0)
        cluster.nodes[leader].leadership.resign_all()
        with pytest.raises(NotLeaderError):
            await calling
        assert resource.accepted == []

    run_cluster(scenario)


def test_a_call_in_flight_when_its_leader_was_paused_is_rejected(resource: FencedResource) -> None:
    """The resource must reject a call that it receives after a call of the next leader."""

    async def scenario(cluster: VirtualCluster) -> None:
        await resource.listen(cluster)
        (leader,) = cluster.leaders_of(ROLE)
        paused = cluster.nodes[leader]
        token = paused.leadership.fencing_token(ROLE)
        assert token is not None
        cluster.nodes[leader].pause()
        await call_as(cluster, await cluster.wait_for_leader(ROLE, other_than=leader))
        late_call = FencedCall(FENCED_RESOURCE_ADDRESS, ROLE, token, leader, b"x", TIMEOUT_MS)
        with pytest.raises(HigherFencingTokenError):  # its bytes were written before the pause
            await execute(paused.host, late_call, lambda: True)
        cluster.nodes[leader].resume()
        assert paused.leadership.fencing_token(ROLE) is None
        assert resource.rejected == 1
        assert len(resource.accepted) == 1

    run_cluster(scenario)


def test_each_leader_reports_to_the_resource(resource: FencedResource) -> None:
    async def scenario(cluster: VirtualCluster) -> None:
        await resource.listen(cluster)
        await asyncio.sleep(2.0)
        await cluster.terminate(cluster.leaders_of(ROLE)[0])
        await asyncio.sleep(2.0)
        assert len(set(resource.accepted)) == 2
        assert len(resource.accepted) > 8
        assert cluster.logged_fields(RECORD_COMMITTED)

    run_cluster(scenario, resource=FENCED_RESOURCE_ADDRESS)


def call_answered_without_length(head: bytes, *, is_reset: bool) -> None:
    """Makes a call whose response has no length and is followed by the end of the stream or by a reset."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"\r\n\r\ndone")
        if is_reset:
            writer.transport.abort()
        else:
            writer.close()

    async def main() -> None:
        network = virtual_time.Network(Random(1))
        await network.host("resource").listen(answer, FENCED_RESOURCE_ADDRESS, READ_BYTES, 16)
        call = FencedCall(FENCED_RESOURCE_ADDRESS, ROLE, 7, "n0", b"x", TIMEOUT_MS)
        await execute(network.host("n0"), call, lambda: True)

    virtual_time.run(main())


# Guards against failing calls that were executed: docs/incidents/2026-12-04-answers-without-a-length.md.
def test_a_response_without_length_confirms_or_rejects_a_call_at_the_end_of_its_stream() -> None:
    call_answered_without_length(b"HTTP/1.1 200 OK", is_reset=False)
    with pytest.raises(HigherFencingTokenError) as rejection:
        call_answered_without_length(b"HTTP/1.1 409 Conflict\r\nFence: 8", is_reset=False)
    assert rejection.value.fencing_token == 8


@pytest.mark.parametrize("head", [b"HTTP/1.1 200 OK", b"HTTP/1.1 409 Conflict\r\nFence: 8"])
def test_a_response_without_length_is_invalid_after_a_reset(head: bytes) -> None:
    with pytest.raises(FencedCallError):
        call_answered_without_length(head, is_reset=True)
