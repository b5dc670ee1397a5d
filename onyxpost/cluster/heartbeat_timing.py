"""How often a node shows that it is alive: members of a cluster to each other, forwarders to planners."""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 500.0
