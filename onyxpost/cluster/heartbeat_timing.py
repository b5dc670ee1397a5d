"""The interval of heartbeats between members of a cluster, and between forwarders and planners."""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 500.0
