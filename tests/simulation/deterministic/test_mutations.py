"""Injected mutations must be detected, and their fault scripts shrunk to the necessary faults.

Guards against invariants that no longer detect a violation, and against shrinking that changes the outcome.
"""

from __future__ import annotations

import pytest

from onyxpost.simulation import deterministic
from onyxpost.simulation.deterministic import FaultKind
from onyxpost.simulation.invariants import Invariant
from onyxpost.simulation.mutations import MUTATIONS, find_mutation, is_mutation

SEEDS = range(60)
# Faults without which no seed violates the invariant. Other invariants may be violated by any seed.
NECESSARY_FAULTS = {
    Invariant.DISCONNECTED_CLIENTS: FaultKind.EARLY_DISCONNECTS,
    Invariant.DISCONNECTED_FIRST_ATTEMPTS: FaultKind.EARLY_DISCONNECTS,
    Invariant.DRAIN_PROPAGATED: FaultKind.POLLS_SILENT,
    Invariant.SLOW_START_CALLS: FaultKind.SLOW_START_BURST,
}
# `lose-answers` is left out. It is detected only if two events occur in one round, and none of the first 60
# seeds has such a round.
DETECTED_MUTATIONS = (
    ("retry-possibly-executed", Invariant.IDEMPOTENCY),
    ("ignore-drains", Invariant.DRAIN_NOTIFIED),
    ("ignore-limits", Invariant.HARD_LIMITS),
    ("treat-lost-as-not-sent", Invariant.IDEMPOTENCY),
    ("ignore-disconnects", Invariant.DISCONNECTED_CLIENTS),
    ("ignore-disconnects", Invariant.DISCONNECTED_FIRST_ATTEMPTS),
    ("never-repeat-silent-polls", Invariant.DRAIN_PROPAGATED),
    ("skip-slow-start", Invariant.SLOW_START_CALLS),
)
OLD_NAMES = (
    "resends-all",
    "deaf-to-drains",
    "answer-lost",
    "ceilings-off",
    "lost-never-ran",
    "sends-for-the-gone",
    "deaf-watch",
    "eager-cold",
)


def first_failure(mutation: str, invariant: Invariant) -> deterministic.Outcome:
    """Returns the first seed's outcome that violates the invariant."""
    necessary = NECESSARY_FAULTS.get(invariant)
    for seed in SEEDS:
        if necessary is None or necessary in {fault.kind for fault in deterministic.draw_script(seed)}:
            outcome = deterministic.run_seed(seed, None, mutation)
            if invariant in {violation.invariant for violation in outcome.violations}:
                return outcome
    pytest.fail(f"no seed of the first {len(SEEDS)} detects {mutation}")


@pytest.mark.parametrize(("mutation", "invariant"), DETECTED_MUTATIONS)
def test_mutation_is_detected_and_its_script_shrunk(mutation: str, invariant: Invariant) -> None:
    found = first_failure(mutation, invariant)
    violation = next(one for one in found.violations if one.invariant is invariant)
    assert violation.at_ms > 0.0
    assert violation.node
    assert violation.request_id
    assert violation.server
    smallest = deterministic.shrink(found, mutation)
    assert len(smallest.faults) <= len(found.faults)
    assert deterministic.run_seed(found.seed, smallest.faults, mutation) == smallest
    assert not deterministic.run_seed(found.seed).failed


def test_old_name_of_each_mutation_is_accepted() -> None:
    assert [mutation.old_name for mutation in MUTATIONS.values()] == list(OLD_NAMES)
    for name, mutation in MUTATIONS.items():
        assert find_mutation(name) is mutation
        assert find_mutation(mutation.old_name) is mutation
        assert is_mutation(mutation.old_name)


def test_unknown_mutation_is_rejected_and_none_is_no_mutation() -> None:
    assert find_mutation("") is None
    assert is_mutation("")
    assert not is_mutation("unknown")
    with pytest.raises(KeyError):
        find_mutation("unknown")
