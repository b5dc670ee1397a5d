"""Errors of leader election, each with the remedy for the operator."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError, OperatorError


class LeadershipError(OperatorError):
    """Base class of this package's errors."""


class LeadershipConfigError(LeadershipError, InvalidInputError):
    """The section `duties` of a node's file is invalid."""

    remedy = "mend the key that is named in `duties`; `check FILE` says the same"


class MembershipChangeError(LeadershipError, InvalidInputError):
    """An acceptor set must not replace the one in force, as their majorities might not intersect."""

    remedy = "add or remove one voter a step, version one higher, once the step before is in force"


class MalformedMessageError(LeadershipError):
    """A received message is not a message of this protocol version."""

    remedy = "see that both nodes run the same release; the message was dropped"


class AcceptorLogError(LeadershipError, InvalidInputError):
    """The log of a node's acceptors is damaged or cannot be written, so they must not vote."""

    remedy = "move the file away while most other voters run: the voter learns from them; look at the disk"


class RecordTooLongError(LeadershipError):
    """A leader tried to write a record of more than 64 KiB."""

    remedy = "a bug of the component that leads the role: it must write a smaller record"


class NotLeaderError(LeadershipError):
    """A node tried to make a fenced call or a write without a valid lease of the role."""

    remedy = "nothing: another node leads the role, or will soon"


class HigherFencingTokenError(LeadershipError):
    """The fenced resource rejected a call, as it has received a higher token; this node resigns."""

    remedy = "nothing: another node leads the role and makes its calls"

    def __init__(self, message: str, location: str = "", fencing_token: int = 0) -> None:
        """`fencing_token` is the highest token that the fenced resource has received; 0 if unknown."""
        super().__init__(message, location)
        self.fencing_token = fencing_token


class FencedCallError(LeadershipError):
    """The fenced resource sent no response, or an unexpected one; it may have executed the call."""

    remedy = "look at the fenced resource (`acts` in the node's file) at the address named"
