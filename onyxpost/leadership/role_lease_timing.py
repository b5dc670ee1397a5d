"""The durations of leases and timeouts. They must be the same at all acceptors and leaders. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RECORD_BYTES = 64 * 1024

RENEWALS_PER_LEASE = 4.0  # the lease survives two consecutive failed renewals
RESPONSE_TIMEOUTS_PER_LEASE = 8.0  # makes the timeout 250 ms at the default lease of 2 s
RANK_DELAYS_PER_LEASE = 40.0  # makes the delay 50 ms at the default lease, one tick of the service


@dataclass(frozen=True, slots=True)
class RoleLeaseTiming:
    """The duration of a lease and the assumed limits of clock errors, with the durations derived from them.

    `drift` limits the relative error of each clock's rate (0.01: 1%). `skew_ms` limits the difference between
    the readings of two nodes' clocks, and how far a node's clock may be set back across a restart.
    """

    lease_ms: float = 2000.0
    drift: float = 0.01
    skew_ms: float = 500.0

    @property
    def acceptor_lease_ms(self) -> float:
        """The duration for which an acceptor grants a lease.

        It is longer than `lease_ms`, so that the acceptor's lease does not end before the leader's, even if
        the acceptor's clock is as fast and the leader's as slow as `drift` allows.
        """
        return self.lease_ms * (1.0 + self.drift) / (1.0 - self.drift)

    @property
    def restart_wait_ms(self) -> float:
        """The restart wait: how long an acceptor that restarted without state must not vote.

        This is the duration of the last lease that it may have granted, with `skew_ms` as a margin.
        """
        return self.acceptor_lease_ms + self.skew_ms

    @property
    def renew_interval_ms(self) -> float:
        """The interval at which a leader renews its lease."""
        return self.lease_ms / RENEWALS_PER_LEASE

    @property
    def response_timeout_ms(self) -> float:
        """How long a candidate waits for replies to a status query; to a Prepare or Accept, twice as long.

        For the same time after a promise, an acceptor reports the role as taken to other candidates.
        """
        return self.lease_ms / RESPONSE_TIMEOUTS_PER_LEASE

    @property
    def rank_delay_ms(self) -> float:
        """The interval between the times at which nodes of consecutive ranks may prepare a ballot."""
        return self.lease_ms / RANK_DELAYS_PER_LEASE
