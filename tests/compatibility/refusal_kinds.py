"""Names that the recorded data uses for the errors with which messages and files are refused.

A rename of an error changes the Python names in this module, never a name in the recorded data.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.cluster import errors as cluster_errors
from onyxpost.leadership import errors as leadership_errors
from onyxpost.simulation.errors import InvalidResultsError, SimulationFileError
from onyxpost.simulation.multiprocess.errors import InvalidScenarioError

if TYPE_CHECKING:
    from collections.abc import Callable

MALFORMED = "malformed"
# The first entry whose type matches an error gives the name of the refusal.
REFUSALS: dict[type[Exception], str] = {
    cluster_errors.MalformedFrameError: MALFORMED,
    leadership_errors.MalformedMessageError: MALFORMED,
    msgspec.DecodeError: MALFORMED,
    EOFError: "end of stream",
    cluster_errors.FrameTooLongError: "too long",
    cluster_errors.ProtocolVersionError: "other protocol version",
    cluster_errors.UnknownSenderError: "unknown sender",
    cluster_errors.MemberNameMismatchError: "other receiver",
    cluster_errors.StaleIncarnationError: "earlier incarnation",
    leadership_errors.AcceptorLogError: "damaged file",
    InvalidResultsError: "unusable results",
    SimulationFileError: "unreadable file",
    InvalidScenarioError: "unusable script",
}


def refusal(error: Exception) -> str:
    """Returns the recorded name of a refusal; raises an error again that is no refusal."""
    for kind, name in REFUSALS.items():
        if isinstance(error, kind):
            return name
    raise error


def refusal_of(call: Callable[[], Any]) -> str | None:
    """Returns the recorded name of the refusal that a call raises, or None if the call returns."""
    try:
        call()
    except Exception as error:
        return refusal(error)
    return None
