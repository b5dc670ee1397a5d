"""The checker reports attempts to a draining server after the drain grace period.

The period begins when the node receives the notification of the drain, or counts as notified.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import EndpointState
from onyxpost.simulation.invariants import Invariant

if TYPE_CHECKING:
    from tests.simulation.invariants.checker_host import CheckerHost


def test_attempt_to_draining_server_past_the_grace_is_violation(host: CheckerHost) -> None:
    host.receive()
    host.checker.on_endpoint_notified(100.0, "n1", "s1", EndpointState.DRAINING)
    host.send(350.0)
    host.assert_no_violation()
    host.send(351.0)
    host.assert_only(Invariant.DRAIN_NOTIFIED, 351.0)


def test_drain_counts_as_known_six_seconds_after_discovery_had_it(host: CheckerHost) -> None:
    host.receive()
    host.checker.on_discovery_updated(1000.0, "n1", "s1", EndpointState.DRAINING)
    host.send(7250.0)  # 6 s and the drain grace period of 250 ms after the update at 1000 ms
    host.send(9000.0, request_id="other", node="n2")  # the discovery of another node was not updated
    host.checker.violations.clear()
    host.send(7250.1)
    host.assert_only(Invariant.DRAIN_PROPAGATED, 7250.1)


def test_earlier_of_notification_and_propagation_counts(host: CheckerHost) -> None:
    host.receive()
    host.checker.on_discovery_updated(1000.0, "n1", "s1", EndpointState.DRAINING)
    host.checker.on_endpoint_notified(2000.0, "n1", "s1", EndpointState.DRAINING)
    host.send(2251.0)
    host.assert_only(Invariant.DRAIN_NOTIFIED, 2251.0)
    host.checker.on_discovery_updated(1000.0, "n1", "s2", EndpointState.DRAINING)
    host.checker.on_endpoint_notified(8000.0, "n1", "s2", EndpointState.DRAINING)
    host.send(7251.0, "s2")
    host.assert_only(Invariant.DRAIN_PROPAGATED, 7251.0, server="s2")


def test_outdated_ready_notification_does_not_delay_propagation(host: CheckerHost) -> None:
    host.receive()
    host.checker.on_discovery_updated(0.0, "n1", "s1", EndpointState.DRAINING)
    host.checker.on_endpoint_notified(100.0, "n1", "s1", EndpointState.READY)
    host.send(6251.0)
    host.assert_only(Invariant.DRAIN_PROPAGATED, 6251.0)


def test_replaced_discovery_and_new_incarnation_discard_earlier_knowledge(host: CheckerHost) -> None:
    host.receive()
    host.checker.on_discovery_updated(0.0, "n1", "s1", EndpointState.GONE)
    host.checker.on_discovery_replaced("n1")
    host.checker.on_discovery_updated(5000.0, "n1", "s1", EndpointState.GONE, 4000.0)
    host.send(9250.0)
    host.assert_no_violation()
    host.send(9251.0)
    host.assert_only(Invariant.DRAIN_PROPAGATED, 9251.0)
    host.checker.on_node_killed(9300.0, "n1")
    host.receive("new")
    host.send(9900.0, request_id="new")
    host.assert_no_violation()
