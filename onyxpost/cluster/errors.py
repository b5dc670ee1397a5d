"""Errors between members of a cluster, each with the remedy for the operator (`docs/on-call.md`)."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError, OperatorError


class ClusterError(OperatorError):
    """Base class of errors that end one connection, or reject one file or message, and affect no other."""


class MalformedFrameError(ClusterError):
    """The received bytes are not a valid message of the protocol; the connection is closed."""

    remedy = "check that both sides run the same release and that no other program uses this address"


class FrameTooLongError(ClusterError, ValueError):
    """A message of this node exceeds the largest frame and is not sent."""

    remedy = "report this bug with its log line: a component sends a message or record above its size limit"


class UnknownSenderError(ClusterError):
    """The sender of a hello is not another member of the cluster, or this node is not a member."""

    remedy = (
        "install the file with the latest fleet.version on both nodes and send SIGHUP; stop a node that it"
        " does not list"
    )


class ProtocolVersionError(ClusterError):
    """The peer uses another version of the protocol."""

    remedy = "install the same release on both nodes"


class MemberNameMismatchError(ClusterError):
    """The node at a member's address is another member than the file says."""

    remedy = "correct this member's address in the file of the node that dials (the lower name)"


class WrongDialerError(ClusterError):
    """The member with the higher name dialed; in each pair the lower name dials."""

    remedy = "check that no two nodes have the same name and that both run the same release"


class StaleIncarnationError(ClusterError):
    """A connection is of an earlier incarnation of the peer, or was dialed before the current connection."""

    remedy = "if this repeats, stop the second process of this name, or correct the node's clock and restart"


class PeerTimeoutError(ClusterError):
    """No message or no pong was received for too long; the connection is aborted and reopened."""

    remedy = "check whether the peer is stopped or overloaded, and the network path in both directions"


class InvalidMembershipError(ClusterError, InvalidInputError):
    """The `fleet` section of a file is invalid."""

    remedy = "correct the named key in `fleet`; `onyxpost check FILE` validates the file"


class StaleMembershipError(ClusterError):
    """The membership in a file has an earlier version than the one in force."""

    remedy = "set a fleet.version above the one in force in the files of all nodes; send SIGHUP"


class MembershipConflictError(ClusterError):
    """The membership in a file has the version of the one in force, but other members."""

    remedy = "two files have this version: raise it in the correct one, on all nodes; send SIGHUP"
