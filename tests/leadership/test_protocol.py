"""Malformed messages of leader election."""

import pytest

from onyxpost.leadership import protocol
from onyxpost.leadership.errors import MalformedMessageError
from onyxpost.leadership.protocol import StatusQuery
from onyxpost.simulation.model_checking.leadership_model import ROLE

COMPLETE = protocol.encode(StatusQuery(role=ROLE, version=1, queried_at_ms=1))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff", id="not a map"),
        pytest.param(COMPLETE[:-1], id="truncated"),
        pytest.param(b"\x80" * 70000, id="too long"),
        pytest.param(COMPLETE.replace(b"look", b"lock"), id="unknown tag"),
    ],
)
def test_a_malformed_message_is_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        protocol.decode(data, "n1")
