"""Whole edge nodes on the virtual clock under faults drawn from a seed."""

from __future__ import annotations

import pytest

from onyxpost.simulation import deterministic

# 68, 682: a connection opened within 0.5 ms of the request's deadline: it was sent, rejected, and then
# reached its server. 407, 496: a connection opened after the deduplication window.
FORMER_FAILURES = (68, 407, 496, 682)
# The same with the base faults alone. SIGTERM: a client that had just connected was closed before its
# request was read. 220: a request that waited too long for the hard limit was sent with 1 ms left, and
# rejected before the server had it.
FORMER_FAILURES_OF_BASE_FAULTS = (260, 610, 1931, 2734, 5081, 220)


@pytest.mark.parametrize("first_seed", [0, 30])
def test_no_invariant_is_violated(first_seed: int) -> None:
    for outcome in deterministic.run_batch(list(range(first_seed, first_seed + 30))):
        assert outcome.violations == [], f"seed {outcome.seed}: {outcome.faults}"
        assert outcome.succeeded > 10


@pytest.mark.parametrize("seed", FORMER_FAILURES)
def test_seed_that_failed_once_does_not_fail_again(seed: int) -> None:
    assert deterministic.run_seed(seed).violations == []


@pytest.mark.parametrize("seed", FORMER_FAILURES_OF_BASE_FAULTS)
def test_base_faults_that_failed_once_do_not_fail_again(seed: int) -> None:
    assert deterministic.run_seed(seed, deterministic.draw_base_faults(seed)).violations == []


def test_seed_replays_exactly() -> None:
    assert deterministic.run_seed(23) == deterministic.run_seed(23)
    assert deterministic.run_seed(23).digest != deterministic.run_seed(24).digest


def test_outcome_record_has_the_keys_of_result_files() -> None:
    fault = deterministic.Fault(0.5, deterministic.FaultKind.POLLS_SILENT, 2, 1.5, 0.25)
    assert fault.to_record() == {"at": 0.5, "kind": "watch-silent", "whom": 2, "lasts": 1.5, "more": 0.25}
    outcome = deterministic.Outcome(7, [], [fault], 9, 8, 6, "0" * 16)
    assert outcome.to_record() == {
        "kind": "seed",
        "seed": 7,
        "asked": 9,
        "passed": 8,
        "steps": 6,
        "digest": "0" * 16,
        "breaches": [],
        "faults": [],
    }


def test_run_in_several_processes_gives_the_same_outcomes() -> None:
    seeds = [3, 4]
    assert list(deterministic.run_seeds(seeds, 2)) == deterministic.run_batch(seeds)
