"""Messages between forwarders and planners, by the case names of the recorded data."""

from __future__ import annotations

from typing import Any

import msgspec

from onyxpost.planner import protocol as planner_protocol


def forwarder_messages() -> dict[str, Any]:
    """Returns messages from forwarders to planners, by case."""
    holding = planner_protocol.HeldLease(customer=17, plan="team", units=40, remaining_ms=812.25)
    hello = planner_protocol.Hello(protocol=1, forwarder="f0", membership_version=3)
    return {
        "hello, defaults": hello,
        "hello, holdings": msgspec.structs.replace(hello, held_leases=[holding, holding]),
        "hello, partial holdings": msgspec.structs.replace(hello, held_leases=[holding], is_complete=False),
        "follow": planner_protocol.MembershipHeartbeat(membership_version=3),
        "ask": planner_protocol.LeaseRequest(
            request_id=5, customer=17, plan="team", units=40, min_units=2, membership_version=3
        ),
        "used": planner_protocol.UsageReport(lease_id=88, units=12, epoch="e-1"),
        "back": planner_protocol.LeaseReturn(lease_id=88, unused_units=28, epoch="e-1"),
    }


def planner_messages() -> dict[str, Any]:
    """Returns messages from planners to forwarders, by case."""
    return {
        "welcome": planner_protocol.Welcome(
            protocol=1, planner="p0", epoch="e-1", membership_version=3, lease_duration_ms=2000.0
        ),
        "grant": planner_protocol.LeaseGrant(
            request_id=5, lease_id=88, customer=17, plan="team", units=40, epoch="e-1"
        ),
        "refuse": planner_protocol.LeaseRejection(
            request_id=5, customer=17, retry_after_ms=125.5, reason="none left"
        ),
        "refuse, no reason": planner_protocol.LeaseRejection(
            request_id=5, customer=17, retry_after_ms=0.0, reason=""
        ),
        "withdraw": planner_protocol.LeaseRevocation(lease_id=88, epoch="e-1"),
    }
