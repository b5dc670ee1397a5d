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
    names = {name for found in present[kind].values() for name in found}  # the code may move to another group
    if kind != WITH:
        names = set(present[kind].get(group, []))
    assert sorted(set(RECORDED[kind][group]) - names) == []


@pytest.mark.parametrize("name", [name for names in RECORDED[WITH].values() for name in names])
def test_each_recorded_constant_is_set_by_its_name(name: str) -> None:
    assert policy_overrides.parse_overrides([f"{name}=3"]) == {name: 3.0}
