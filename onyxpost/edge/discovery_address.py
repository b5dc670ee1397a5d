"""Selects the discovery address to poll while it is unknown which of two addresses is in use. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.edge.poll_schedule import PollFailure

if TYPE_CHECKING:
    from onyxpost.config.address import Address

# Failures that show that discovery was up and may have had a change that this node lacks. A single connection
# that was closed before an answer does not show this.
DISCOVERY_UP_FAILURES = (PollFailure.OVERLOADED, PollFailure.MALFORMED_ANSWER)


class AddressChoice:
    """Selects the address that a watch polls next, and decides which failed polls are reported.

    Discovery may have moved while the node was down. Until one address has answered, the watch polls the
    other address at once after each failed poll, and reports a failure only after both have failed in turn.

    Attributes:
        address: the address to poll.
        alternative: the second address that discovery may have; None if there is none, and once one of the
            two has answered.
    """

    def __init__(self, address: Address, alternative: Address | None = None) -> None:
        """Creates a choice that polls `address` first."""
        self.address = address
        self.alternative = alternative
        self._is_polling_second = False
        # The failure of the first address in this turn of both, if it shows that discovery was up.
        self._first_failure: PollFailure | None = None

    def on_poll_failed(self, failure: PollFailure) -> PollFailure | None:
        """Records a failed poll and switches to the other address, if there is one.

        Returns:
            The failure to report, or None if the other address has to be polled first. If both addresses
            failed, this is the failure of the first one if that shows that discovery was up, else of the
            second.
        """
        if self.alternative is None:
            return failure
        failed_address = self.address
        self.address = self.alternative
        self.alternative = failed_address
        self._is_polling_second = not self._is_polling_second
        if self._is_polling_second:
            self._first_failure = failure if failure in DISCOVERY_UP_FAILURES else None
            return None
        reported = self._first_failure or failure
        self._first_failure = None
        return reported

    def on_poll_answered(self, address: Address) -> None:
        """Polls only `address`, which has answered, from now on."""
        self.address = address
        self.forget_alternative()

    def forget_alternative(self) -> None:
        """Polls only the current address from now on."""
        self.alternative = None
