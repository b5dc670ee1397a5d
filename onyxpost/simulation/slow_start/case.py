"""The parameters of a slow-start emulation: sizes, load, replacements and restarts."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.core.types import SlowStartPolicy

DEFAULT_POLICY = SlowStartPolicy(0.2, 10_000.0, 2.0, 1500.0)


@dataclass(frozen=True, slots=True)
class SlowStartCase:
    """Parameters of one emulation.

    Attributes:
        nodes: Number of nodes that the settings of the gateways name.
        servers: Number of servers.
        requests_per_second: Requests of mean work that a warm server completes in a second.
        load: Request rate of all nodes together, as a share of the capacity of all servers when warm.
        replaced_fraction: Fraction of the servers that are replaced.
        restarted_fraction: Probability of each node to be killed once and restarted, while servers warm up.
        restart_window_ms: Time span of these restarts, from the first replacement on.
        running_fraction: Fraction of the `nodes` that run.
        policy: Slow-start settings of the gateways.
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
    def servers_per_replacement(self) -> int:
        """The number of servers that each of the two replacements starts."""
        return round(self.replaced_fraction * self.servers / 2)
