"""Which acceptor set may follow which."""

import pytest

from onyxpost.leadership.errors import MembershipChangeError
from onyxpost.leadership.membership import AcceptorSet, validate_transition
from onyxpost.simulation.model_checking.leadership_model import TERMS, DutyWorld
from tests.leadership.world import run_for, token_of

OLD = AcceptorSet(4, ("a", "b", "c"))


@pytest.mark.parametrize(
    ("new", "settled"),
    [
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d"), OLD.names), True, id="one added"),
        pytest.param(AcceptorSet(4, ("c", "b", "a"), OLD.names), False, id="the same again"),
    ],
)
def test_allows_a_step(new: AcceptorSet, settled: bool) -> None:
    validate_transition(OLD, new, "duties", is_settled=settled)


@pytest.mark.parametrize(
    ("new", "settled"),
    [
        pytest.param(AcceptorSet(5, ("a", "b", "d"), OLD.names), True, id="one replaced"),
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d", "e"), OLD.names), True, id="two added"),
        pytest.param(AcceptorSet(6, ("a", "b", "c", "d"), OLD.names), True, id="version left out"),
        pytest.param(AcceptorSet(3, ("a", "b"), OLD.names), True, id="earlier version"),
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d"), ("a", "b", "x")), True, id="other previous set"),
        pytest.param(AcceptorSet(5, ("a", "b", "c", "d"), OLD.names), False, id="not settled"),
    ],
)
def test_refuses_a_step(new: AcceptorSet, settled: bool) -> None:
    with pytest.raises(MembershipChangeError):
        validate_transition(OLD, new, "duties", is_settled=settled)


def test_acceptors_change_while_the_leader_is_cut_off() -> None:
    world = DutyWorld().settle()
    run_for(world, TERMS.renew_interval_ms, lambda: world.make(("run", "c0", "")))
    new = AcceptorSet(2, ("v0", "v1", "v2", "v3"), world.membership.names)
    world.rates["v3"] = 1.0 + TERMS.drift
    world.membership = new
    for name, acceptor in world.voters.items():
        validate_transition(acceptor.acceptors, new, name, is_settled=acceptor.is_settled)
        acceptor.change_acceptors(world.at(name), new)
    world.voters["v3"] = world.new_voter("v3")
    world.seats["c1"].change_acceptors(world.at("c1"), new)
    confirmed = world.confirmed
    run_for(world, 5 * TERMS.lease_ms, lambda: world.make(("run", "c1", "")))
    assert token_of(world, "c0") is None
    assert token_of(world, "c1") is not None
    assert world.voters["v3"].is_voting
    assert world.confirmed == confirmed
