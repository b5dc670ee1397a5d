"""Links between endpoints, each one direction of the network, with the faults that are on. No I/O."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DELAYED_DATAGRAMS = 1000  # that a stalled link keeps; more are lost


class LinkBehavior(NamedTuple):
    """What a link does with what is sent over it.

    Attributes:
        cut: datagrams are lost; bytes and ends of TCP wait until the link heals, as by retransmission.
        stall: all waits until the link heals.
        delay_ms: added to each transfer.
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
    """One direction between two endpoints; the behaviors of all faults that are on add up.

    Attributes:
        behavior: the sum at the moment.
        is_open: set while nothing has to wait.
    """

    def __init__(self) -> None:
        self.behavior = NO_FAULT
        self.is_open = asyncio.Event()
        self.is_open.set()
        self._behaviors: dict[int, LinkBehavior] = {}
        self._waiting_datagrams: list[Callable[[], None]] = []

    def start_fault(self, fault_id: int, behavior: LinkBehavior) -> None:
        """Starts a fault, or replaces the behavior of one that is on."""
        self._behaviors[fault_id] = behavior
        self._update()

    def end_fault(self, fault_id: int) -> None:
        """Ends a fault; nothing happens if it is not on."""
        self._behaviors.pop(fault_id, None)
        self._update()

    def end_all_faults(self) -> None:
        """Ends all faults."""
        self._behaviors.clear()
        self._update()

    def hold_datagram(self, forward: Callable[[], None]) -> None:
        """Keeps a datagram until the link heals."""
        if len(self._waiting_datagrams) < MAX_DELAYED_DATAGRAMS:
            self._waiting_datagrams.append(forward)

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
        waiting = self._waiting_datagrams
        self._waiting_datagrams = []
        for forward in waiting:
            forward()


class LinkTable:
    """All links of a run, created when they are first asked for."""

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], Link] = {}

    def link(self, source: str, destination: str) -> Link:
        """Returns the link from one endpoint to another."""
        return self._links.setdefault((source, destination), Link())

    def heal(self) -> None:
        """Ends the faults of all links."""
        for link in self._links.values():
            link.end_all_faults()
