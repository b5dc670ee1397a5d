"""What is emulated: the number of nodes and servers, their load, and what fails. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.core.types import SlowStartPolicy

DEFAULT_POLICY = SlowStartPolicy(0.2, 10_000.0, 2.0, 1500.0)


@dataclass(frozen=True, slots=True)
class SlowStartCase:
    """A situation to emulate.

    Attributes:
        nodes: Number of nodes in the settings.
        servers: Number of servers.
        requests_per_second: Requests of mean work that a warm server completes in a second.
        load: Requests sent by all nodes, as a share of what all servers complete when warm.
        replaced_fraction: Of the servers.
        restarted_fraction: Of the nodes; each is killed once while the new servers warm up.
        restart_window_ms: From the first replacement on, in which these nodes are killed.
        running_fraction: Of the nodes in the settings.
        policy: The slow-start settings.
    """

    nodes: int
    servers: int = 20
    requests_per_second: float = 10.0
    load: float = 0.6
    replaced_fraction: float = 0.6
    restarted_fraction: float = 0.0
    restart_window_ms: float = 16_500.0
    running_fraction: float = 1.0
    policy: SlowStartPolicy = DEFAULT_POLICY

    @property
    def servers_per_step(self) -> int:
        """How many servers each of the two replacements starts."""
        return round(self.replaced_fraction * self.servers / 2)
