"""Every numeric constant of the policy can be overridden by its current and earlier names."""

from __future__ import annotations

import importlib
import pkgutil

from onyxpost import policy
from onyxpost.simulation.discrete_event.policy_overrides import EARLIER_NAMES, parse_overrides


def policy_constants() -> list[tuple[str, str]]:
    """Returns the class and name of each constant of the policy whose value is a float."""
    modules = [
        importlib.import_module(f"onyxpost.policy.{found.name}")
        for found in pkgutil.iter_modules(policy.__path__)
    ]
    return [
        (owner.__name__, name)
        for module in modules
        for owner in vars(module).values()
        if isinstance(owner, type) and owner.__module__.startswith("onyxpost.policy.")
        for name, value in vars(owner).items()
        if name.isupper() and isinstance(value, float)
    ]


def test_period_of_load_shedding_is_a_constant_of_the_policy() -> None:
    assert ("LatencyLoadShedder", "PERIOD_MS") in policy_constants()


def test_every_constant_of_the_policy_can_be_overridden_by_its_current_and_earlier_names() -> None:
    names = [f"{owner}.{name}" for owner, name in policy_constants()]
    for name in (*names, *EARLIER_NAMES):
        assert parse_overrides([f"{name}=1"]) == {name: 1.0}
