"""Options of the load generator, and their limits."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.errors import InvalidOptionError, NotLoopbackError

if TYPE_CHECKING:
    from onyxpost.config.address import Address

MAX_REQUESTS = 1_000_000
MAX_SECONDS = 3600.0
MAX_CONNECTIONS = 20_000


class LoadOptions(NamedTuple):
    """Options of a load run; the field names are keys in the result files.

    Attributes:
        rate: Mean number of requests per second.
        seconds: Duration of the run.
        customers: Number of customers, one of which is drawn for each request.
        connections: Maximal number of open connections.
        seed: Seed of the arrival times and of the drawn requests.
    """

    rate: float
    seconds: float
    customers: int
    connections: int
    seed: int


def check_options(options: LoadOptions) -> LoadOptions:
    """Returns the options. Raises InvalidOptionError if one is out of range."""
    if not 0.0 < options.seconds <= MAX_SECONDS:
        raise InvalidOptionError(
            f"{options.seconds:g} s: expected more than 0 s and at most {MAX_SECONDS:.0f} s"
        )
    if not 0.0 < options.rate * options.seconds <= MAX_REQUESTS:
        raise InvalidOptionError(
            f"{options.rate:g} requests/s for {options.seconds:g} s: expected more than 0"
            f" and at most {MAX_REQUESTS} requests"
        )
    if not 0 < options.connections <= MAX_CONNECTIONS:
        raise InvalidOptionError(f"{options.connections} connections: expected from 1 to {MAX_CONNECTIONS}")
    return options


def require_loopback(address: Address) -> Address:
    """Returns the address. Raises NotLoopbackError unless its host is a loopback IP address."""
    try:
        if ipaddress.ip_address(address[0]).is_loopback:
            return address
    except ValueError:
        pass
    raise NotLoopbackError("not an IP address on loopback", "{}:{}".format(*address))
