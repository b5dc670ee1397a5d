"""Errors between members of a cluster, each with the remedy for the operator (`docs/on-call.md`)."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError, OperatorError


class ClusterError(OperatorError):
    """Base class of errors that end one connection, or reject one file or message, and affect no other."""


class MalformedFrameError(ClusterError):
    """The received bytes are not a valid message of the protocol; the connection is closed."""

    remedy = "see that both sides run the same release and that nothing else speaks to this address"


class FrameTooLongError(ClusterError, ValueError):
    """A message of this node exceeds the largest frame and is not sent."""

    remedy = "a bug of the part that sends it, or a record over its bound: report the cause"


class UnknownSenderError(ClusterError):
    """The sender of a hello is not a member of the cluster, or this node is not."""

    remedy = "bring the file with the later fleet.version, which names the sender, to this node; SIGHUP"


class ProtocolVersionError(ClusterError):
    """The peer uses another version of the protocol."""

    remedy = "bring both nodes to the same release"


class MemberNameMismatchError(ClusterError):
    """The node at a member's address is another member than the file says."""

    remedy = "mend this member's address in the file of the node that dials (the lower name)"


class WrongDialerError(ClusterError):
    """The member with the higher name dialed; in each pair the lower name dials."""

    remedy = "see that no two nodes have the same name and that both run the same release"


class StaleIncarnationError(ClusterError):
    """A connection is of an earlier incarnation of the peer, or was dialed before the current connection."""

    remedy = "if it repeats: stop the second process of this name, or restart it once its clock is right"


class PeerTimeoutError(ClusterError):
    """No message or no pong was received for too long; the connection is aborted and reopened."""

    remedy = "look at the peer (stopped, overloaded?) and at the path to it in both directions"


class InvalidMembershipError(ClusterError, InvalidInputError):
    """The `fleet` section of a file is invalid."""

    remedy = "mend the named key; `onyxpost check FILE` says the same"


class StaleMembershipError(ClusterError):
    """The membership in a file has an earlier version than the one in force."""

    remedy = "give the file a fleet.version above the one in force, on all nodes; SIGHUP"


class MembershipConflictError(ClusterError):
    """The membership in a file has the version of the one in force, but other members."""

    remedy = "two files have one version: compare them, raise it in the right one, on all nodes; SIGHUP"
