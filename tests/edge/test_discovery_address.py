"""The choice between two discovery addresses after failed and answered polls.

A wrong choice lets a node poll an address that discovery has left, or hides that discovery was reached and
may have a change.
"""

from __future__ import annotations

import pytest

from onyxpost.edge.discovery_address import AddressChoice
from onyxpost.edge.poll_schedule import PollFailure

FIRST = ("10.0.0.1", 1)
SECOND = ("10.0.0.2", 1)
REACHED = [PollFailure.OVERLOADED, PollFailure.MALFORMED_ANSWER]


@pytest.fixture
def choice() -> AddressChoice:
    return AddressChoice(FIRST, SECOND)


@pytest.mark.parametrize("failure", PollFailure)
def test_with_one_address_each_failure_counts(failure: PollFailure) -> None:
    choice = AddressChoice(FIRST)
    assert choice.on_poll_failed(failure) is failure
    assert (choice.address, choice.alternative) == (FIRST, None)


@pytest.mark.parametrize("failure", PollFailure)
def test_the_first_failure_switches_to_the_second_address_and_does_not_count(
    choice: AddressChoice, failure: PollFailure
) -> None:
    assert choice.on_poll_failed(failure) is None
    assert (choice.address, choice.alternative) == (SECOND, FIRST)


def test_the_second_failure_counts_and_the_first_address_is_next(choice: AddressChoice) -> None:
    choice.on_poll_failed(PollFailure.UNREACHABLE)
    assert choice.on_poll_failed(PollFailure.TIMEOUT) is PollFailure.TIMEOUT
    assert (choice.address, choice.alternative) == (FIRST, SECOND)


@pytest.mark.parametrize("failure", REACHED)
def test_an_unreachable_second_address_does_not_hide_that_the_first_was_reached(
    choice: AddressChoice, failure: PollFailure
) -> None:
    choice.on_poll_failed(failure)
    assert choice.on_poll_failed(PollFailure.UNREACHABLE) is failure


@pytest.mark.parametrize("failure", REACHED)
def test_a_failure_of_the_first_address_counts_in_one_round_only(
    choice: AddressChoice, failure: PollFailure
) -> None:
    choice.on_poll_failed(failure)
    choice.on_poll_failed(PollFailure.UNREACHABLE)
    choice.on_poll_failed(PollFailure.UNREACHABLE)
    assert choice.on_poll_failed(PollFailure.TIMEOUT) is PollFailure.TIMEOUT


@pytest.mark.parametrize("answered", [FIRST, SECOND])
def test_after_an_answer_its_address_is_kept_and_each_failure_counts(
    choice: AddressChoice, answered: tuple[str, int]
) -> None:
    choice.on_poll_failed(PollFailure.TIMEOUT)
    choice.on_poll_answered(answered)  # a late answer of the first address counts as well
    assert choice.on_poll_failed(PollFailure.UNREACHABLE) is PollFailure.UNREACHABLE
    assert (choice.address, choice.alternative) == (answered, None)


def test_without_its_alternative_the_current_address_is_kept(choice: AddressChoice) -> None:
    choice.on_poll_failed(PollFailure.UNREACHABLE)
    choice.forget_alternative()
    assert choice.on_poll_failed(PollFailure.TIMEOUT) is PollFailure.TIMEOUT
    assert choice.address == SECOND
