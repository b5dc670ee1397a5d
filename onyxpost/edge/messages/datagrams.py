"""What peers tell each other, one datagram each."""

from __future__ import annotations

from onyxpost.edge.messages.values import PeerTold

DATAGRAM_MOST = 256


def datagram(body: str) -> bytes:
    data = body.encode("ascii")
    if len(data) > DATAGRAM_MOST:
        raise ValueError(f"datagram of {len(data)} bytes")
    return data


def peer_told(data: bytes, number: int | None) -> PeerTold | None:
    """None for strangers, who have no number, and garbage."""
    if number is None or not 0 < len(data) <= DATAGRAM_MOST or not data.isascii():
        return None
    return PeerTold(number, data.decode("ascii"))
