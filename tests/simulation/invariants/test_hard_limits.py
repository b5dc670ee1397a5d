"""The checker reports that all nodes together sent more units of a customer than its hard limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.invariants import Invariant, Violation

if TYPE_CHECKING:
    from tests.simulation.invariants.checker_host import CheckerHost


def test_hard_limit_exceeded_only_by_both_nodes_together_is_violation(host: CheckerHost) -> None:
    for index in range(7):
        node = f"n{index % 2}"
        host.receive(f"r{index}", node=node)
        host.send(10.0, request_id=f"r{index}", node=node, plan="p")
    assert host.checker.violations == [
        Violation(
            Invariant.HARD_LIMITS, 10.0, "n0", "r6", "s1", "customer c is 4.0 units past its hard limit"
        )
    ]
