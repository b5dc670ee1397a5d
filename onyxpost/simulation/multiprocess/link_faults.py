"""Maps network faults to the links that they affect, and to the behavior of these links. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.multiprocess.fault_script import link_ends
from onyxpost.simulation.multiprocess.link import LinkBehavior

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.fault_script import Fault

MIN_DELAY_MS = 5.0
MAX_DELAY_MS = 300.0


class LinkEnds(NamedTuple):
    """One direction between two endpoints."""

    source: str
    destination: str


def affected_links(fault: Fault, nodes: Sequence[str], servers: Sequence[str]) -> list[LinkEnds]:
    """Returns the links that a network fault affects."""
    match fault.kind:
        case "groups" | "bridge":
            return _links_between_groups(fault.groups, nodes)
        case "alone":
            return _links_of(fault.target, [node for node in nodes if node != fault.target])
        case "servers-cut":
            return _links_of(fault.target, servers)
    source, destination = link_ends(fault.target)
    if fault.kind == "stall":
        return [LinkEnds(source, destination), LinkEnds(destination, source)]
    return [LinkEnds(source, destination)]


def behavior_of(fault: Fault) -> LinkBehavior:
    """Returns the behavior of the links that a network fault affects."""
    match fault.kind:
        case "stall":
            return LinkBehavior(stall=True)
        case "delay":
            return LinkBehavior(delay_ms=MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * fault.intensity)
        case "lose":
            return LinkBehavior(loss=fault.intensity)
        case "duplicate":
            return LinkBehavior(duplication=fault.intensity)
        case "reorder":
            return LinkBehavior(reordering=fault.intensity)
        case _:
            return LinkBehavior(cut=True)


def _links_between_groups(groups: Sequence[Sequence[str]], nodes: Sequence[str]) -> list[LinkEnds]:
    """Returns all links between nodes without a common group."""
    return [
        LinkEnds(source, destination)
        for source in nodes
        for destination in nodes
        if source != destination and not any(source in group and destination in group for group in groups)
    ]


def _links_of(endpoint: str, others: Sequence[str]) -> list[LinkEnds]:
    """Returns the links between an endpoint and others, in both directions."""
    links: list[LinkEnds] = []
    for other in others:
        links += [LinkEnds(endpoint, other), LinkEnds(other, endpoint)]
    return links
