"""Options of a planner cluster's run, and their bounds."""

from __future__ import annotations

from typing import NamedTuple

from onyxpost.simulation.errors import InvalidOptionError

MAX_SECONDS = 600.0
MAX_FORWARDERS = 64
MAX_PLANNERS = 9
MAX_REQUEST_RATE = 2000.0

HARD_LIMIT_FACTOR = 1.5  # rate and burst of a hard limit, as a multiple of those of the quota
MAX_REQUEST_UNITS = 3  # largest number of quota units of one request
LATENCY_OBJECTIVE_US = 800_000
CLIENT_TIMEOUT_US = 2_000_000


class ClusterOptions(NamedTuple):
    """Size, load and faults of a run; rates are per second."""

    forwarders: int = 20
    planners: int = 3
    seconds: float = 30.0
    request_rate: float = 150.0  # requests per second of all customers together
    customers: int = 12
    seed: int = 1
    kill_interval_seconds: float = 3.0  # mean time between kills of a planner; 0: no kills
    use_gossip: bool = False
    quota_rate: float = 12.0  # units per second of one customer
    quota_burst: float = 40.0


def check_options(options: ClusterOptions) -> ClusterOptions:
    """Returns the options unchanged. Raises InvalidOptionError if one is out of bounds."""
    if not 0.0 < options.seconds <= MAX_SECONDS:
        raise InvalidOptionError(f"{options.seconds:g} s, expected more than 0 and up to {MAX_SECONDS:.0f}")
    if not 0 < options.forwarders <= MAX_FORWARDERS or not 0 < options.planners <= MAX_PLANNERS:
        raise InvalidOptionError(
            f"{options.forwarders} forwarders and {options.planners} planners,"
            f" expected 1 to {MAX_FORWARDERS} and 1 to {MAX_PLANNERS}"
        )
    if not 0.0 < options.request_rate <= MAX_REQUEST_RATE or options.customers < 1:
        raise InvalidOptionError(
            f"{options.request_rate:g} requests per second,"
            f" expected more than 0 and up to {MAX_REQUEST_RATE:.0f}, from at least one customer"
        )
    return options
