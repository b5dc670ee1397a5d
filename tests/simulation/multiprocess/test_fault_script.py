"""Equal seeds draw equal scripts; the error for an invalid script or scenario names the place."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.fault_draws import DrawSettings, draw_faults
from onyxpost.simulation.multiprocess.fault_script import (
    FAULT_KINDS,
    Fault,
    FaultRate,
    FaultScript,
    decode_script,
    encode_script,
)
from onyxpost.simulation.multiprocess.scenario import draw_script, load_scenario, with_size

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time

LEASE_SECONDS = 6.0
SETTINGS = DrawSettings(nodes=5, servers=4, seconds=20.0, lease_seconds=LEASE_SECONDS)
RATES = {kind: FaultRate(60.0) for kind in FAULT_KINDS}


def test_equal_seeds_draw_equal_faults_and_others_do_not() -> None:
    drawn = draw_faults(7, SETTINGS, RATES)
    assert draw_faults(7, SETTINGS, RATES) == drawn
    assert draw_faults(8, SETTINGS, RATES) != drawn


def test_script_is_read_from_its_file_as_it_was_drawn() -> None:
    script = FaultScript("edge-cuts", 7, 5, 20.0, draw_faults(7, SETTINGS, RATES))
    assert decode_script(encode_script(script), "x") == script


def test_drawn_faults_have_all_kinds_and_pauses_outlast_a_lease() -> None:
    drawn = draw_faults(7, SETTINGS, RATES)
    assert {fault.kind for fault in drawn} == set(FAULT_KINDS)
    assert all(fault.duration_seconds > LEASE_SECONDS for fault in drawn if fault.kind == "stop")


def test_drawn_groups_are_disjoint_or_share_one_node() -> None:
    groups = [fault.groups for fault in draw_faults(7, SETTINGS, RATES) if fault.kind == "groups"]
    assert {len(set(one) & set(other)) for one, other in groups} == {0, 1}


def test_drawn_bridges_share_one_acceptor_and_leaders_are_preferred_targets() -> None:
    script = draw_script(with_size(load_scenario("leadership-bridge"), 5, 300.0), 1)
    assert decode_script(encode_script(script), "x") == script
    for fault in (fault for fault in script.faults if fault.kind == "bridge"):
        first, second = (set(group) for group in fault.groups)
        assert (len(first & second), len(first | second)) == (1, 5)
        assert [len(group & {"n0", "n1", "n2"}) for group in (first, second)] == [2, 2]
    node_faults = [fault for fault in script.faults if fault.kind in ("kill", "stop", "term")]
    assert sum(fault.target.startswith("h") for fault in node_faults) > len(node_faults) / 2


def script_with_unknown_node() -> bytes:
    """Returns a script for two nodes, n0 and n1, with a fault that targets n2."""
    return encode_script(FaultScript("edge-cuts", 1, 2, 5.0, [Fault(1.0, "kill", "n2", 1.0)]))


@pytest.mark.parametrize(
    ("read", "expected"),
    [
        (lambda: decode_script(script_with_unknown_node(), "f.json"), "$.faults[0]"),
        (lambda: decode_script(b'{"scenario": 1}', "f.json"), "$.scenario"),
        (lambda: load_scenario("nowhere"), "shipped are edge-all-killed, edge-cuts, "),
        (lambda: with_size(load_scenario("edge-cuts"), 65, None), "1 to 64"),
        (lambda: with_size(load_scenario("edge-cuts"), 5, 601.0), "up to 600"),
    ],
    ids=["unknown node", "wrong type", "unknown scenario", "too many nodes", "too long"],
)
def test_invalid_script_or_scenario_is_refused_with_its_path_and_a_remedy(
    read: Callable[[], object], expected: str
) -> None:
    with pytest.raises(InvalidScenarioError) as caught:
        read()
    assert expected in caught.value.to_line()
    assert "docs/multiprocess-simulation.md" in caught.value.to_line()


@pytest.mark.parametrize("suffix", ["all-killed", "bridge", "cuts", "stalls"])
def test_old_name_of_a_scenario_draws_the_same_faults(suffix: str) -> None:
    old = load_scenario(f"duties-{suffix}")
    assert old.name == f"duties-{suffix}"
    assert draw_script(old, 3).faults == draw_script(load_scenario(f"leadership-{suffix}"), 3).faults
