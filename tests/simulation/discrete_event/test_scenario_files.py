"""Scenario files: shipped scenarios, errors that name the key, and sizes from the command line."""

from __future__ import annotations

import pytest

from onyxpost.simulation.discrete_event.scenario_files import (
    load_scenario,
    parse_scenario,
    resize_scenario,
    shipped_scenarios,
)
from onyxpost.simulation.errors import InvalidSimulationInputError
from tests.simulation.discrete_event.small_scenario import SMALL_SCENARIO, fault_section


def test_eight_scenarios_or_more_are_shipped() -> None:
    assert len(shipped_scenarios()) >= 8


@pytest.mark.parametrize("name", shipped_scenarios())
def test_shipped_scenario_can_be_loaded_by_its_name(name: str) -> None:
    assert load_scenario(name).name == name


@pytest.mark.parametrize(
    ("text", "location"),
    [
        (SMALL_SCENARIO.replace("nodes = 4", 'nodes = "4"'), "$.fleet.nodes"),
        (SMALL_SCENARIO.replace("nodes = 4", "nodes = 0"), "$.fleet.nodes"),
        (SMALL_SCENARIO.replace("zones = 2", "unknown_key = 2"), "unknown_key"),
        (SMALL_SCENARIO.replace("[40, 60]", "[60, 40]"), "$.work[0].work_ms"),
        (SMALL_SCENARIO.replace("seconds = 6", "seconds = -1"), "$.seconds"),
        (SMALL_SCENARIO + fault_section("zone-lost", at_s=1, for_s=1, zone=2), "$.events[0].zone"),
        (SMALL_SCENARIO + fault_section("kill", at_s=9, share=0.5), "$.events[0].at_s"),
        (SMALL_SCENARIO + fault_section("no-such", at_s=1), "$.events[0]"),
        (SMALL_SCENARIO.replace('name = "small"', 'name = "small'), "small"),
    ],
    ids=[
        "wrong type",
        "out of range",
        "unknown key",
        "reversed range",
        "negative duration",
        "unknown zone",
        "fault after the end",
        "unknown fault",
        "malformed TOML",
    ],
)
def test_invalid_scenario_is_rejected_in_one_line_with_its_location(text: str, location: str) -> None:
    with pytest.raises(InvalidSimulationInputError) as caught:
        parse_scenario(text, "small")
    assert location in str(caught.value)
    assert "\n" not in str(caught.value)


def test_size_from_the_command_line_replaces_that_of_the_scenario() -> None:
    scenario = parse_scenario(SMALL_SCENARIO, "small")
    assert resize_scenario(scenario, 8, None).cluster.nodes == 8


def test_size_out_of_range_is_rejected_like_one_in_a_file() -> None:
    scenario = parse_scenario(SMALL_SCENARIO, "small")
    with pytest.raises(InvalidSimulationInputError):
        resize_scenario(scenario, 100_000, None)
