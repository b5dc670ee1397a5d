"""The small typed values that pass between the sockets and the reducer, each decoded and encoded once."""

from onyxpost.edge.messages.datagrams import DATAGRAM_MOST, datagram, peer_told
from onyxpost.edge.messages.heads import BODY_MOST, answer, asked
from onyxpost.edge.messages.lists import STANDINGS, Row, Rows, address, listed, told
from onyxpost.edge.messages.onward import onward, result
from onyxpost.edge.messages.values import (
    Address,
    Answer,
    Asked,
    ClientLeft,
    Close,
    Ended,
    Granted,
    Headers,
    Incoming,
    Kind,
    Leave,
    Listed,
    ListFailed,
    Log,
    Outgoing,
    Page,
    PeerTold,
    Place,
    Ruled,
    Send,
    Spend,
    Tell,
    Unused,
    Wake,
    Watch,
    Withdraw,
    Withdrawn,
    Woken,
    fault,
)

__all__ = [
    "BODY_MOST", "DATAGRAM_MOST", "STANDINGS", "Address", "Answer", "Asked", "ClientLeft", "Close", "Ended",
    "Granted", "Headers", "Incoming", "Kind", "Leave", "ListFailed", "Listed", "Log", "Outgoing", "Page",
    "PeerTold", "Place", "Row", "Rows", "Ruled", "Send", "Spend", "Tell", "Unused", "Wake", "Watch",
    "Withdraw", "Withdrawn", "Woken", "address", "answer", "asked", "datagram", "fault", "listed", "onward",
    "peer_told", "result", "told",
]  # fmt: skip
