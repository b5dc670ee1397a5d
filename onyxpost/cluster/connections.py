"""Keeps one connection to each other member of the cluster open, with a limit on its unsent bytes.

In each pair of members the one with the lower name dials, so exactly one side opens each connection. Socket
addresses are never compared, as there may be a relay between two nodes. Sending never waits: a message is
dropped and counted if there is no connection, or if too many bytes are unsent because the peer reads slowly.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from onyxpost.cluster.connection import PeerConnection
from onyxpost.cluster.dialer import Dialer
from onyxpost.cluster.errors import ClusterError, MalformedFrameError
from onyxpost.cluster.frames import encode_frame
from onyxpost.cluster.handshake import Handshake
from onyxpost.cluster.listener import PeerListener
from onyxpost.cluster.membership import Membership, is_later_version, members_to_disconnect
from onyxpost.cluster.payload_delivery import PayloadDelivery
from onyxpost.cluster.peer_checks import PeerChecker
from onyxpost.cluster.peer_log import PeerLog
from onyxpost.cluster.peer_monitor import PeerMonitor
from onyxpost.cluster.protocol import Hello, Payload, PeerMessage, Ping, Pong, read_message
from onyxpost.cluster.statistics import ConnectionStatistics

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.cluster.failure_detector import PeerState
    from onyxpost.cluster.incarnation import Incarnation
    from onyxpost.config.address import Address
    from onyxpost.runtime.log_event import LogEvent
    from onyxpost.runtime.transport import Transport

LEAVE_TIMEOUT_SECONDS = 0.2  # how long a leaving node waits for its peers to read and end their side
LEAVE_POLL_SECONDS = 0.01


class PeerConnections:
    """Sends and receives the messages of this node's components, and tracks the state of each member.

    `on_message(sender, topic, body)` is called for each message whose topic is in `topics`; other messages
    are dropped. It must not block. An exception that it raises is logged, and the connection stays open.
    """

    def __init__(
        self,
        network: Transport,
        name: str,
        incarnation: Incarnation,
        membership: Membership,
        on_message: Callable[[str, str, bytes], None],
        log: Callable[[LogEvent], None],
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.statistics = ConnectionStatistics()
        self.established: dict[str, PeerConnection] = {}
        self._network = network
        self._peer_log = PeerLog(log)
        self.payloads = PayloadDelivery(on_message, self.statistics, self._peer_log)
        self.handshake = Handshake(name, incarnation, membership)
        self.monitor = PeerMonitor(self._other_members(), self._peer_log, network.clock())
        self.dialer = Dialer(network, self.handshake, self._run_connection, self._on_dial_ended)
        self.listener = PeerListener(network, self.handshake, self._run_connection, self._on_rejected)
        self._peer_checker = PeerChecker(
            network, self.established, self.monitor, self.statistics, self._peer_log, self._on_rejected
        )
        self._peer_check_task: asyncio.Task[None] | None = None
        self._is_leaving = False

    @property
    def topics(self) -> set[str]:
        """The topics whose messages are delivered at this node."""
        return self.payloads.topics

    @property
    def membership(self) -> Membership:
        """The membership in force."""
        return self.handshake.membership

    async def listen(self, address: Address) -> None:
        """Listens at the address. Raises OSError or ListenError if it cannot be bound."""
        await self.listener.listen(address)

    def start(self) -> None:
        """Starts to dial and check the other members; requires a running event loop."""
        self._peer_check_task = asyncio.get_running_loop().create_task(self._peer_checker.run())
        self._apply_membership()

    def send(self, receiver: str, topic: str, body: bytes) -> bool:
        """Sends a message without waiting.

        Returns:
            False if the message was dropped, as there is no connection or its buffer is full. True does not
            mean that the receiver has received it.

        Raises:
            FrameTooLongError: the message exceeds the largest frame.
        """
        frame = encode_frame(Payload(topic, body))
        connection = self.established.get(receiver)
        is_sent = connection is not None and connection.send_frame(frame)
        if is_sent:
            self.statistics.sent += 1
        else:
            self.statistics.dropped += 1
        return is_sent

    def state_of(self, member: str) -> PeerState:
        """Returns the state of a member; GONE for a name that is not a member."""
        return self.monitor.state_of(member)

    def incarnation_of(self, member: str) -> Incarnation | None:
        """Returns the incarnation of a connected member, or None without a connection."""
        connection = self.established.get(member)
        return None if connection is None else connection.incarnation

    def descriptor_count(self) -> int:
        """Returns the number of connections' descriptors, of members and of peers without a hello."""
        return len(self.established) + len(self.listener.unidentified)

    def update_membership(self, membership: Membership) -> bool:
        """Applies a membership of a later version; logs why an earlier or conflicting one is rejected.

        Returns whether it was applied; False while leaving. Called when SIGHUP reloads the node's file.
        """
        try:
            if self._is_leaving or not is_later_version(membership, self.membership):
                return False
        except ClusterError as err:
            self._peer_log.log_rejected_membership(err)
            return False
        previous = self.membership
        self.handshake.update_membership(membership)
        for name in members_to_disconnect(previous, membership, self.name):
            self.dialer.cancel(name)
            if (connection := self.established.pop(name, None)) is not None:
                connection.abort("closed by a membership change")
                self.monitor.on_disconnected(name, self._network.clock(), connection.end_reason)
        self._apply_membership()
        self._peer_log.log_membership_change(membership)
        return True

    async def leave(self) -> None:
        """Ends all connections after their peers have read all sent messages, or after a timeout.

        If a socket is closed while it has unread bytes, or receives bytes after it was closed, the kernel
        resets the connection and drops the bytes that are not sent yet. So this node first ends only its own
        side of each connection, and waits up to `LEAVE_TIMEOUT_SECONDS` for the peers to end theirs.
        """
        self._stop()
        self.dialer.cancel_except(self.established)
        for connection in self.established.values():
            connection.close_write("this node is leaving")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                while self.established:  # noqa: ASYNC110 - polls for at most 0.2 s, which is simpler than an event
                    await asyncio.sleep(LEAVE_POLL_SECONDS)
        for connection in self.established.values():
            connection.writer.close()
        self.dialer.cancel_all()

    def close(self) -> None:
        """Aborts all connections and stops listening; received messages not handled yet are dropped."""
        self._stop()
        self.listener.close()
        if self._peer_check_task is not None:
            self._peer_check_task.cancel()
        self.dialer.cancel_all()
        for name in list(self.established):
            self.established.pop(name).abort("closed by this node")
        self.listener.unidentified.abort_all()

    def handle_message(self, connection: PeerConnection, message: PeerMessage) -> None:
        """Handles a message read from `connection`. Raises MalformedFrameError for a second hello."""
        if self.established.get(connection.member) is not connection or connection.is_write_closed:
            return  # the connection was replaced or has ended since the message was read
        now_ms = self._network.clock()
        detector = self.monitor.detectors[connection.member]
        detector.on_message(now_ms)
        match message:
            case Ping(number=number):
                connection.send(Pong(number))
            case Pong(number=number):
                detector.on_pong(now_ms, number)
            case Payload():
                self.payloads.deliver(connection.member, message)
            case Hello():
                raise MalformedFrameError("unexpected second hello", connection.member)

    def _stop(self) -> None:
        self._is_leaving = True
        self._peer_log.suppress_state_changes()
        self.dialer.stop()
        self.listener.stop()

    def _other_members(self) -> list[str]:
        return [name for name in self.membership.members if name != self.name]

    def _apply_membership(self) -> None:
        """Starts to monitor and dial new members and stops for removed ones.

        If this node itself was removed, it monitors and dials no member.
        """
        now_ms = self._network.clock()
        others = self._other_members() if self.name in self.membership.members else []
        for name in [name for name in self.monitor.detectors if name not in others]:
            self.monitor.remove(name, now_ms)
            self.handshake.forget(name)
        self.monitor.add(others, now_ms)
        for name in others:
            self.dialer.start(name)

    def _on_rejected(self, err: ClusterError) -> None:
        self.statistics.rejected += 1
        self._peer_log.log_rejected_connection(self._network.clock(), err)

    def _on_dial_ended(self, member: str, cause: Exception | None) -> None:
        if isinstance(cause, ClusterError):
            self._on_rejected(cause)
        self.monitor.on_dial_ended(member, self._network.clock(), cause)

    async def _run_connection(
        self, hello: Hello, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a connection until it ends; a later connection to the same member aborts and replaces it."""
        connection = PeerConnection(hello, writer)
        name = connection.member
        replaced = self.established.get(name)
        self.established[name] = connection
        self.handshake.accept(hello)
        if replaced is not None:
            replaced.abort("replaced by a later connection")
        self.monitor.on_connected(name, self._network.clock())
        try:
            while True:
                self.handle_message(connection, await read_message(reader))
        except (OSError, EOFError, ClusterError) as err:
            cause = "closed by the peer" if isinstance(err, EOFError) else str(err)
            connection.record_end(cause or type(err).__name__)
            raise
        finally:
            if self.established.get(name) is connection:
                del self.established[name]
                self.monitor.on_disconnected(
                    name, self._network.clock(), connection.end_reason or "connection ended"
                )
