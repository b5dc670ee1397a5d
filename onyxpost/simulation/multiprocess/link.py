"""Links between endpoints with their active faults; a link is one direction of the network. No I/O."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HELD_DATAGRAMS = 1000  # a stalled link holds this many datagrams and loses all later ones


class LinkBehavior(NamedTuple):
    """How a link treats datagrams, and bytes of TCP.

    Attributes:
        cut: whether datagrams are lost, and bytes and ends of TCP streams are held until the link heals, as
            if they were retransmitted.
        stall: whether datagrams, bytes and ends of TCP streams are all held until the link heals.
        delay_ms: delay of each datagram and of each chunk of bytes.
        loss: probability that a datagram is lost.
        duplication: probability that a datagram arrives twice.
        reordering: probability that a datagram is overtaken by later ones.
    """

    cut: bool = False
    stall: bool = False
    delay_ms: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


NO_FAULT = LinkBehavior()


class Link:
    """One direction between two endpoints.

    Delays of several active faults add up; of probabilities, the highest one counts.

    Attributes:
        behavior: the combined behavior of all active faults.
        is_open: set while the link is neither cut nor stalled.
    """

    def __init__(self) -> None:
        self.behavior = NO_FAULT
        self.is_open = asyncio.Event()
        self.is_open.set()
        self._behaviors: dict[int, LinkBehavior] = {}
        self._held_datagrams: list[Callable[[], None]] = []

    def start_fault(self, fault_id: int, behavior: LinkBehavior) -> None:
        """Starts a fault, or replaces the behavior of an active one."""
        self._behaviors[fault_id] = behavior
        self._update()

    def end_fault(self, fault_id: int) -> None:
        """Ends a fault; nothing happens if it is not active."""
        self._behaviors.pop(fault_id, None)
        self._update()

    def end_all_faults(self) -> None:
        """Ends all faults of this link."""
        self._behaviors.clear()
        self._update()

    def hold_datagram(self, forward: Callable[[], None]) -> None:
        """Holds a datagram until the link heals; `forward` then sends it."""
        if len(self._held_datagrams) < MAX_HELD_DATAGRAMS:
            self._held_datagrams.append(forward)

    def _update(self) -> None:
        behaviors = list(self._behaviors.values())
        self.behavior = LinkBehavior(
            cut=any(behavior.cut for behavior in behaviors),
            stall=any(behavior.stall for behavior in behaviors),
            delay_ms=sum(behavior.delay_ms for behavior in behaviors),
            loss=max((behavior.loss for behavior in behaviors), default=0.0),
            duplication=max((behavior.duplication for behavior in behaviors), default=0.0),
            reordering=max((behavior.reordering for behavior in behaviors), default=0.0),
        )
        if self.behavior.cut or self.behavior.stall:
            self.is_open.clear()
            return
        self.is_open.set()
        held = self._held_datagrams
        self._held_datagrams = []
        for forward in held:
            forward()


class LinkTable:
    """All links of a run; each is created when it is first looked up."""

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], Link] = {}

    def link(self, source: str, destination: str) -> Link:
        """Returns the link from one endpoint to another."""
        return self._links.setdefault((source, destination), Link())

    def heal(self) -> None:
        """Ends all faults of all links."""
        for link in self._links.values():
            link.end_all_faults()
