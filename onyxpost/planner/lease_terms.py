"""Duration of leases at the forwarder and at the planner, given the drift between their clocks."""

from __future__ import annotations

from typing import NamedTuple


class LeaseTerms(NamedTuple):
    """Timing of leases, from the planner's file. The planner's welcome tells forwarders the duration."""

    #: How long a forwarder may use a lease after it sent the lease request, by the forwarder's clock.
    duration_ms: float = 2000.0
    #: Upper bound on the relative error of each clock's rate.
    clock_drift: float = 0.01

    @property
    def planner_duration_ms(self) -> float:
        """Time after a grant at which the forwarder no longer uses the lease, by the planner's clock.

        The forwarder's duration begins earlier, when it sends the request; the margin covers the clocks'
        drift.
        """
        return self.duration_ms * (1.0 + 2.0 * self.clock_drift)
