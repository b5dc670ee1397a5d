"""Rendezvous hashing, which ranks the nodes of each role, and deterministic jitter. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_nodes(role: str, nodes: Iterable[str], excluded_nodes: Iterable[str] = ()) -> list[str]:
    """Returns the nodes that may lead the role, the most preferred one first.

    Adding or removing a node does not change the order of the others.
    """
    eligible = set(nodes) - set(excluded_nodes)
    return sorted(eligible, key=lambda node: (stable_hash(f"{node}/{role}"), node), reverse=True)


def deterministic_jitter(*seed: object) -> float:
    """Returns a number from 0 to 1 that depends only on the seed.

    Seeds contain the node's name, so that nodes that collided retry at different times.
    """
    return stable_hash("/".join(map(str, seed))) / 2.0**32
