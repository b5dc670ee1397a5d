"""Deployment settings that the deterministic and the multi-process simulation use.

The keys are those of the settings that operators write; times are in microseconds.
"""

from __future__ import annotations

from typing import Any

DEPLOYMENT_SETTINGS: dict[str, Any] = {
    "quantum_us": 1000,
    "discovery": "pushed",
    "bounds": {
        "try_limit": 4,
        "parallel_tries": True,
        "cancelling": True,
        "peers": True,
        "retry_after": True,
        "max_retry_after_us": 500_000,
        "connect_timeout_us": 200_000,
        "keepalive_us": 5_000_000,
    },
    "family_info": {"mail_per_s": 40.0, "most_units": 3},
    "grades": [
        {"name": "look", "aim_us": 300_000, "deadline_us": 900_000, "effect": "retryable"},
        {
            "name": "post",
            "aim_us": 400_000,
            "deadline_us": 1_200_000,
            "effect": "dedup",
            "group": "zone",
            "dedup_window_us": 500_000,
            "late_value": 0.2,
        },
        {"name": "pay", "aim_us": 400_000, "deadline_us": 1_200_000, "effect": "fragile", "late_value": 0.2},
    ],
    "packages": [
        {"name": "open", "refill": 50.0, "depth": 100.0},
        {"name": "tight", "refill": 4.0, "depth": 8.0, "cap_rate": 8.0, "ceiling_burst": 12.0},
    ],
    "rules": {
        "start_capacity": 0.2,
        "cold_us": 4_000_000,
        "fall_multiple": 4.0,
        "fall_us": 1_000_000,
        "drain_grace_us": 100_000,
    },
}
# The same settings with a longer connect timeout, so that clients may disconnect while the node still opens a
# connection to a server.
SLOW_CONNECT_SETTINGS = DEPLOYMENT_SETTINGS | {
    "bounds": DEPLOYMENT_SETTINGS["bounds"] | {"try_limit": 2, "connect_timeout_us": 600_000},
    "grades": [
        frontend | {"deadline_us": 2 * frontend["deadline_us"] + 600_000}
        for frontend in DEPLOYMENT_SETTINGS["grades"]
    ],
    "rules": DEPLOYMENT_SETTINGS["rules"] | {"drain_grace_us": 600_000},
}
