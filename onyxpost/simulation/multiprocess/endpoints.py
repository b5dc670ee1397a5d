"""Names of the endpoints of a run, and where they are found. No I/O.

Endpoints are `n0` (a node), `s0` (an app server or the fenced resource) and `d0` (discovery of a node). An
incarnation of one is named `s0.1`, one of several addresses `n1/udp`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.config.address import Address

# Returns the real address of a name at the time; None if nothing listens there.
AddressLookup = Callable[[str], "Address | None"]


def endpoint_of(name: str) -> str:
    """Returns the endpoint of an incarnation or of an address."""
    return name.partition("/")[0].partition(".")[0]


def format_address(address: Address) -> str:
    """Returns an address as files have it: `host:port`."""
    return f"{address[0]}:{address[1]}"
