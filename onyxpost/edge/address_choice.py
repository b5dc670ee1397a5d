"""The choice between two addresses that discovery may have while none of them has answered. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.edge.staleness import PollFailure

if TYPE_CHECKING:
    from onyxpost.config.address import Address

REACHED_FAILURES = (PollFailure.OVERLOADED, PollFailure.MALFORMED_ANSWER)
"""After these a discovery was reached, which may know of a change."""


class AddressChoice:
    """Says which address a watch polls next.

    Discovery may have moved while the node was down. Until one address has answered, each failure makes the
    watch poll the other one at once; only when both have failed in turn does the failure count.

    Attributes:
        address: the address to poll.
        alternative: the second address that discovery may have; None once one of the two has answered.
    """

    def __init__(self, address: Address, alternative: Address | None = None) -> None:
        """Starts with `address`."""
        self.address = address
        self.alternative = alternative
        self._is_on_second = False
        self._first_failure: PollFailure | None = None  # of the first address, if discovery was reached there

    def on_poll_failed(self, failure: PollFailure) -> PollFailure | None:
        """Switches to the other address, if there is one.

        Returns:
            The failure that counts, or None if the other address is to be polled before any counts. If the
            first address was reached, its failure counts rather than that of the second one.
        """
        if self.alternative is None:
            return failure
        failed_address = self.address
        self.address = self.alternative
        self.alternative = failed_address
        self._is_on_second = not self._is_on_second
        if self._is_on_second:
            self._first_failure = failure if failure in REACHED_FAILURES else None
            return None
        counted = self._first_failure or failure
        self._first_failure = None
        return counted

    def on_poll_answered(self, address: Address) -> None:
        """Keeps to the address that has answered."""
        self.address = address
        self.forget_alternative()

    def forget_alternative(self) -> None:
        """Keeps to the address that is polled now."""
        self.alternative = None
