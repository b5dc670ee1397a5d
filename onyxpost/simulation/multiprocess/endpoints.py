"""Names and addresses of the endpoints of a run. No I/O.

Endpoints are nodes (`n0`), app servers or the fenced resource (`s0`) and the discovery stubs of nodes
(`d0`). `s0.1` names incarnation 1 of `s0`, and `n1/udp` one of several addresses of `n1`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.config.address import Address

# Returns the current real address of a name; None if it has none.
AddressLookup = Callable[[str], "Address | None"]


def endpoint_of(name: str) -> str:
    """Returns the endpoint in the name of an incarnation or address: `s0` for `s0.1`, `n1` for `n1/udp`."""
    return name.partition("/")[0].partition(".")[0]


def format_address(address: Address) -> str:
    """Returns an address in the format of the nodes' files, `host:port`."""
    return f"{address[0]}:{address[1]}"
