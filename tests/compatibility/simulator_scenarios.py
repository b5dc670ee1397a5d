"""Scenarios of the recorded transcripts of the simulator's host protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.compatibility.http_requests import Fields

MICROSECONDS_PER_SECOND = 1_000_000
# Conditions of an app server.
GONE = 0
READY = 1
DRAINING = 2
# Scopes of an endpoint list.
CHANGES = 0
COMPLETE = 1
FAILED = 3
FRONTENDS: list[Fields] = [
    {"name": "look", "aim_us": 300_000, "deadline_us": 900_000, "effect": "retryable", "worth": 2.0},
    {"name": "file", "aim_us": 400_000, "deadline_us": 1_500_000, "effect": "dedup", "group": "all",
     "dedup_window_us": 800_000, "late_value": 0.2},
    {"name": "post", "aim_us": 400_000, "deadline_us": 1_500_000, "effect": "dedup", "group": "zone",
     "dedup_window_us": 500_000, "late_value": 0.2, "aim_stretch": 2.0},
    {"name": "note", "aim_us": 500_000, "deadline_us": 1_500_000, "effect": "dedup", "group": "cell",
     "dedup_window_us": 500_000},
    {"name": "pay", "aim_us": 400_000, "deadline_us": 1_200_000, "effect": "fragile", "late_value": 0.2},
    {"name": "watch", "aim_us": 600_000, "deadline_us": 2_000_000, "effect": "retryable", "streamed": True},
]  # fmt: skip
PLANS: list[Fields] = [
    {"name": "open", "refill": 200.0, "depth": 400.0},
    {"name": "tight", "refill": 6.0, "depth": 12.0, "worth_factor": 2.0},
    {"name": "capped", "refill": 40.0, "depth": 80.0, "cap_rate": 12.0, "ceiling_burst": 8.0},
    {"name": "narrow", "refill": 80.0, "depth": 100.0, "open": 3},
    {"name": "free"},
]
BOUNDS: Fields = {
    "try_limit": 4,
    "parallel_tries": True,
    "cancelling": True,
    "peers": True,
    "retry_after": True,
    "max_retry_after_us": 500_000,
}


class Scenario:
    """One run of the simulator: its size, duration, load, and the limits that the settings give to nodes.

    `rate` is the number of requests per second, `spread` the number of nodes that one customer uses.
    """

    def __init__(
        self, seed: int, instances: int, servers: int, seconds: float, rate: float, *, spread: int = 3,
        discovery: str = "pushed", **bounds: Any,
    ) -> None:  # fmt: skip
        self.seed = seed
        self.instances = instances
        self.servers = servers
        self.seconds = seconds
        self.rate = rate
        self.spread = spread
        self.discovery = discovery
        self.bounds = BOUNDS | bounds

    def settings(self, ordinal: int) -> Fields:
        """Returns the settings of the node with this index."""
        return {
            "ordinal": ordinal,
            "n_instances": self.instances,
            "quantum_us": 1000,
            "discovery": self.discovery,
            "bounds": self.bounds,
            "family_info": {"mail_per_s": 40.0, "most_units": 3},
            "grades": FRONTENDS,
            "packages": PLANS,
            "rules": {
                "start_capacity": 0.2,
                "cold_us": 3 * MICROSECONDS_PER_SECOND,
                "fall_multiple": 4.0,
                "fall_us": MICROSECONDS_PER_SECOND,
                "drain_grace_us": 100_000,
            },
        }


SCENARIOS = {
    "small_set": Scenario(11, instances=3, servers=6, seconds=16.0, rate=110.0),
    "large_set": Scenario(12, instances=8, servers=8, seconds=8.0, rate=130.0, spread=8),
    "on_request": Scenario(
        13, instances=2, servers=4, seconds=10.0, rate=70.0, spread=2, discovery="on_request",
        peers=False, cancelling=False, retry_after=False,
    ),
}  # fmt: skip
