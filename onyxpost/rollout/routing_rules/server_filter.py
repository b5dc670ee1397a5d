"""Compiles the server choices of a rule to filters, predicates on one server. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import TYPE_CHECKING

from onyxpost.core.types import Locatable
from onyxpost.rollout.routing_rules.customer_hash import HASH_RANGE
from onyxpost.rollout.routing_rules.schema import ServerAttribute

if TYPE_CHECKING:
    from onyxpost.rollout.routing_rules.schema import ServerChoice

ServerFilter = Callable[[Locatable], bool]
PermittedValues = Mapping[ServerAttribute, frozenset[object]]


def weight_bounds(choice: ServerChoice) -> list[int]:
    """Returns the hashes that separate the ranges of the weighted values; empty without weights."""
    cumulative_weights = list(accumulate(_weights(choice).values()))
    return [round(end / cumulative_weights[-1] * HASH_RANGE) for end in cumulative_weights[:-1]]


def server_filters(choice: ServerChoice, weight_hash: int) -> list[ServerFilter]:
    """Returns the filters of a choice in order of preference.

    With weights, the first filter permits only the value whose range contains `weight_hash`, and the second
    permits all values. Without weights, there is one filter.
    """
    criteria = choice.criteria()
    all_values = {attribute: frozenset(values) for attribute, values in criteria.items()}
    weights = _weights(choice)
    if not weights:
        return [_server_filter(all_values)]
    assigned_value = list(weights)[bisect_right(weight_bounds(choice), weight_hash)]
    assigned_values = {
        attribute: frozenset([assigned_value] if isinstance(values, dict) else values)
        for attribute, values in criteria.items()
    }
    return [_server_filter(assigned_values), _server_filter(all_values)]


def _weights(choice: ServerChoice) -> Mapping[str, float] | Mapping[int, float]:
    """Returns the weights of the criterion that has weights, of which there is at most one; else none."""
    return next((values for values in choice.criteria().values() if isinstance(values, dict)), {})


def _server_filter(permitted: PermittedValues) -> ServerFilter:
    zones = permitted.get(ServerAttribute.ZONES)
    cells = permitted.get(ServerAttribute.CELLS)
    names = permitted.get(ServerAttribute.NAMES)
    if cells is None and names is None and zones is not None:
        return lambda server: server.zone in zones  # shortcut for by far the most frequent case
    return lambda server: (
        (zones is None or server.zone in zones)
        and (cells is None or server.cell in cells)
        and (names is None or server.id in names)
    )
