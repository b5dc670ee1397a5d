"""Names that leave the process stay letter for letter: other builds, operators' tools and files use them."""

from __future__ import annotations

import pytest

from onyxpost.simulation.discrete_event import policy_overrides
from tests.compatibility import external_names, recorded

RECORDED: dict[str, dict[str, list[str]]] = recorded.load("external_names.json")
WITH = "constants that --with accepts"


@pytest.fixture(scope="module")
def present() -> dict[str, dict[str, list[str]]]:
    return external_names.collect()


@pytest.mark.parametrize(("kind", "group"), [(kind, group) for kind in RECORDED for group in RECORDED[kind]])
def test_each_recorded_name_is_in_the_source(
    kind: str, group: str, present: dict[str, dict[str, list[str]]]
) -> None:
    # A renamed constant moves from the current names to the earlier ones.
    groups = present[kind] if kind == WITH else [group]
    names = {name for each in groups for name in present[kind].get(each, [])}
    assert sorted(set(RECORDED[kind][group]) - names) == []


@pytest.mark.parametrize("name", [name for names in RECORDED[WITH].values() for name in names])
def test_each_recorded_constant_is_set_by_its_name(name: str) -> None:
    assert policy_overrides.parse_overrides([f"{name}=3"]) == {name: 3.0}
