"""Assigns each customer to one planner by rendezvous hashing over the planners of a membership version.

Adding a planner moves customers only to it, and removing a planner moves only its customers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Sequence


def planner_for_customer(planners: Sequence[str], customer: int) -> str:
    """Returns the planner with the highest hash for this customer.

    Raises:
        ValueError: there are no planners.
    """
    if not planners:
        raise ValueError("expected at least one planner, got none")
    return max(planners, key=lambda name: (stable_hash(f"{name}/{customer:x}"), name))
