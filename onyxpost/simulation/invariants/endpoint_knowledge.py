"""From when on a node counts as told of a server: what it heard, and what it could have heard. Pure; ms.

The operators' rule: whatever became of the node's calls, a change counts as told 6 s after discovery had
it and could be reached.
"""

from __future__ import annotations

from typing import NamedTuple

from onyxpost.core.types import EndpointState

COUNTS = 6000.0  # ms after which a change counts as told, heard or not

Key = tuple[str, str]  # node, server


class EndpointNotification(NamedTuple):
    at: float
    heard: bool  # else it only counts


class EndpointKnowledge:
    def __init__(self) -> None:
        self.unwanted: dict[Key, float] = {}  # heard: nothing more to that server
        self.counted: dict[Key, float] = {}  # when the same counts as told
        self.started: dict[Key, float] = {}  # told of that life of the server, by either

    def heard(self, at: float, node: str, server: str, standing: EndpointState) -> None:
        key = node, server
        if standing is EndpointState.READY:
            self.unwanted.pop(key, None)
            self.started[key] = min(at, self.started.get(key, at))
        else:
            self.unwanted.setdefault(key, at)

    def held(self, at: float, node: str, server: str, standing: EndpointState, within: float) -> None:
        """Discovery has it and the node could ask: it counts `within` ms later."""
        key, counts = (node, server), at + within
        if standing is EndpointState.READY:
            self.counted.pop(key, None)
            self.started.setdefault(key, counts)
        else:
            self.counted.setdefault(key, counts)

    def moved(self, node: str) -> None:
        """What an agent held that the node is to leave counts no more by itself."""
        for key in [key for key in self.counted if key[0] == node]:
            del self.counted[key]

    def died(self, node: str) -> None:
        for told in (self.unwanted, self.counted, self.started):
            for key in [key for key in told if key[0] == node]:
                del told[key]

    def not_to_send(self, node: str, server: str) -> EndpointNotification | None:
        """From when on the node was told to send no more there."""
        heard, counted = self.unwanted.get((node, server)), self.counted.get((node, server))
        if heard is not None and (counted is None or heard <= counted):
            return EndpointNotification(heard, True)
        return None if counted is None else EndpointNotification(counted, False)

    def of_start(self, at: float, node: str, server: str) -> bool:
        return self.started.get((node, server), float("inf")) <= at
