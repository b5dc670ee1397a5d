"""The check whether an acceptor set may replace another, and a change of acceptors."""

import pytest

from onyxpost.leadership.acceptor_set import AcceptorSet, validate_transition
from onyxpost.leadership.errors import MembershipChangeError
from onyxpost.simulation.model_checking.actions import Exchange
from onyxpost.simulation.model_checking.initial_states import elect_leader
from onyxpost.simulation.model_checking.leadership_model import TIMING, LeadershipModel
from tests.leadership.model_steps import run_for, token_of

OLD = AcceptorSet(4, ("a", "b", "c"))


@pytest.mark.parametrize(
    ("new", "are_records_committed"),
    [
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d"), OLD.names), True, id="one added"),
        pytest.param(AcceptorSet(4, ("c", "b", "a"), OLD.names), False, id="unchanged"),
    ],
)
def test_allows_a_change_of_one_acceptor(new: AcceptorSet, are_records_committed: bool) -> None:
    validate_transition(OLD, new, "duties", are_records_committed=are_records_committed)


@pytest.mark.parametrize(
    ("new", "are_records_committed"),
    [
        pytest.param(AcceptorSet(5, ("a", "b", "d"), OLD.names), True, id="one replaced"),
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d", "e"), OLD.names), True, id="two added"),
        pytest.param(AcceptorSet(6, ("a", "b", "c", "d"), OLD.names), True, id="version skipped"),
        pytest.param(AcceptorSet(3, ("a", "b"), OLD.names), True, id="earlier version"),
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d"), ("a", "b", "x")), True, id="other previous set"),
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d"), OLD.names), False, id="records not committed"),
    ],
)
def test_rejects_another_change(new: AcceptorSet, are_records_committed: bool) -> None:
    with pytest.raises(MembershipChangeError):
        validate_transition(OLD, new, "duties", are_records_committed=are_records_committed)


def test_acceptors_change_while_the_leader_is_cut_off() -> None:
    """A leader that has missed the change loses its lease; the next one has the committed record."""
    model = elect_leader(LeadershipModel())
    run_for(model, TIMING.renew_interval_ms, lambda: model.apply(Exchange("c0")))
    new = AcceptorSet(2, ("v0", "v1", "v2", "v3"), model.acceptor_set.names)
    model.clock_rates["v3"] = 1.0 + TIMING.drift
    model.acceptor_set = new
    for name, acceptor in model.acceptors.items():
        validate_transition(acceptor.acceptors, new, name, are_records_committed=acceptor.is_record_committed)
        acceptor.change_acceptors(model.clock_ms(name), new)
    model.acceptors["v3"] = model.create_acceptor("v3")
    model.participants["c1"].change_acceptors(model.clock_ms("c1"), new)
    committed = model.history.committed
    run_for(model, 5 * TIMING.lease_ms, lambda: model.apply(Exchange("c1")))
    assert token_of(model, "c0") is None
    assert token_of(model, "c1") is not None
    assert model.acceptors["v3"].is_voting
    assert model.history.committed == committed
