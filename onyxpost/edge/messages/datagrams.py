"""Encodes and decodes the messages between edge nodes; each message is one datagram."""

from __future__ import annotations

from onyxpost.core.events import PeerMessageReceived

MAX_DATAGRAM_BYTES = 256  # longer datagrams are neither sent nor accepted


def encode_datagram(body: str) -> bytes:
    """Encodes a message.

    Raises:
        ValueError: the message is not ASCII, or longer than `MAX_DATAGRAM_BYTES`.
    """
    data = body.encode("ascii")
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram of {len(data)} bytes exceeds {MAX_DATAGRAM_BYTES} bytes")
    return data


def decode_datagram(data: bytes, peer: int | None) -> PeerMessageReceived | None:
    """Decodes a message.

    Args:
        data: the datagram.
        peer: the index of the sender; None for an unknown sender.

    Returns:
        The message; None if it is malformed or its sender is unknown.
    """
    if peer is None or not 0 < len(data) <= MAX_DATAGRAM_BYTES or not data.isascii():
        return None
    return PeerMessageReceived(peer, data.decode("ascii"))
