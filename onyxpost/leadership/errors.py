"""Errors of leader election, each with the remedy for the operator."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError, OperatorError


class LeadershipError(OperatorError):
    """Base class of this package's errors."""


class LeadershipConfigError(LeadershipError, InvalidInputError):
    """The section `duties` of a node's file is invalid."""

    remedy = "correct the named key in `duties`; `onyxpost check FILE` validates the file"


class MembershipChangeError(LeadershipError, InvalidInputError):
    """An acceptor set must not replace the one in force, or not yet; the message gives the reason."""

    remedy = "add or remove one voter at a time, with the next `version`, once the last change is in force"


class MalformedMessageError(LeadershipError):
    """A received message is not a message of this protocol version; it is dropped."""

    remedy = "run the same release on this node and on the sender of the message"


class AcceptorLogError(LeadershipError, InvalidInputError):
    """The log of a node's acceptors is damaged or cannot be written, so they must not vote."""

    remedy = (
        "check the disk; if the file is damaged, move it away and restart while a majority of the other"
        " voters runs: this node recovers its state from them"
    )


class RecordTooLongError(LeadershipError):
    """A leader tried to write a record of more than 64 KiB."""

    remedy = "report this bug of the component that leads the role: it must write a smaller record"


class NotLeaderError(LeadershipError):
    """A node tried to make a fenced call or a write without a valid lease of the role."""

    remedy = "find the role's leader by the latest event `leadership acquired` in the logs of all nodes"


class HigherFencingTokenError(LeadershipError):
    """The fenced resource rejected a call, as it has received a higher token; this node resigns."""

    remedy = "if this repeats, check the nodes' clocks, and that no other cluster calls the fenced resource"

    def __init__(self, message: str, location: str = "", fencing_token: int = 0) -> None:
        """`fencing_token` is the highest token that the fenced resource has received; 0 if unknown."""
        super().__init__(message, location)
        self.fencing_token = fencing_token


class FencedCallError(LeadershipError):
    """The fenced resource sent no response, or an unexpected one; it may have executed the call."""

    remedy = "check that the fenced resource (`acts` in the node's file) runs and can be reached"
