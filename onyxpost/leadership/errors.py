"""Errors of leader election, as an operator sees them. No I/O."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError, OperatorError


class LeadershipError(OperatorError):
    """The base of this package's errors."""


class LeadershipConfigError(LeadershipError, InvalidInputError):
    """The file's section `duties` cannot be used."""

    remedy = "mend the key that is named in `duties`; `check FILE` says the same"


class MembershipChangeError(LeadershipError, InvalidInputError):
    """A change of acceptors after which two majorities might not intersect."""

    remedy = "add or remove one voter a step, version one higher, once the step before is in force"


class MalformedMessageError(LeadershipError):
    """A received message is not one of this protocol version."""

    remedy = "see that both nodes run the same release; the message was dropped"


class AcceptorLogError(LeadershipError, InvalidInputError):
    """An acceptor's file is damaged or cannot be written: the acceptor must not vote by it."""

    remedy = "move the file away while most other voters run: the voter learns from them; look at the disk"


class RecordTooLongError(LeadershipError):
    """A record over 64 KiB."""

    remedy = "a bug of the component that leads the role: it must write a smaller record"


class NotLeaderError(LeadershipError):
    """A fenced call or a write of a node that does not certainly hold the lease now."""

    remedy = "nothing: another node leads the role, or will soon"


class HigherFencingTokenError(LeadershipError):
    """Another leader has made a call: this call was rejected, and this node resigns."""

    remedy = "nothing: another node leads the role and makes its calls"

    def __init__(self, message: str, location: str = "", fencing_token: int = 0) -> None:
        """`fencing_token` is the higher one that the fenced resource knows."""
        super().__init__(message, location)
        self.fencing_token = fencing_token


class FencedCallError(LeadershipError):
    """The fenced resource did not answer in time, or not as it should: the call may have been executed."""

    remedy = "look at the fenced resource (`acts` in the node's file) at the address named"
