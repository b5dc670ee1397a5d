"""The fenced resource rejects tokens below the highest one of a role, which it returns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11
import pytest

from onyxpost.runtime.http1 import encode_message, read_response
from onyxpost.simulation.multiprocess.fenced_resource import FencedResource
from tests.edge.event_loop import in_event_loop

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.history import FencedCallReceived

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time

CALLS = (("a", "5"), ("a", "4"), ("b", "4"), ("a", "5"), ("a", "-1"))


@in_event_loop
async def test_lower_token_of_a_role_is_rejected_and_the_highest_is_in_the_answer() -> None:
    calls: list[FencedCallReceived] = []
    answers: list[tuple[int, bytes]] = []
    resource = FencedResource(calls.append, lambda: 0.0)
    reader, writer = await asyncio.open_connection(*await resource.open())
    http = h11.Connection(h11.CLIENT)
    for role, token in CALLS:
        headers = [("Host", "t"), ("Fence", token), ("Holder", "n1"), ("Content-Length", "1")]
        head = h11.Request(method="POST", target=f"/acts/{role}", headers=headers)
        writer.write(encode_message(http, head, b"x"))
        response, _ = await read_response(http, lambda: reader.read(4096), 100)
        answers.append((response.status_code, dict(response.headers)[b"fence"]))
        http.start_next_cycle()
    writer.close()
    resource.close()
    assert answers == [(200, b"5"), (409, b"5"), (200, b"4"), (200, b"5"), (400, b"0")]
    assert [call.accepted for call in calls] == [True, False, True, True]
