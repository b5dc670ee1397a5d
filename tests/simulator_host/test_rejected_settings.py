"""Settings of a node that the simulator's host rejects with a WireError."""

import pytest

from onyxpost.simulator_host.errors import WireError
from onyxpost.simulator_host.host import Host
from tests.edge.harness import DEPLOYMENT_SETTINGS


def test_settings_without_frontends_are_rejected_by_one_error() -> None:
    attach = {"Attach": {"node_id": 0, "init_seed": 3, "params": DEPLOYMENT_SETTINGS | {"grades": []}}}
    with pytest.raises(WireError):
        Host().handle_message({"at_time_us": 1, "news": [attach]})
