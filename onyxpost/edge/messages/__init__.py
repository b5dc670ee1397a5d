"""Events and effects of the edge node's state machine, and their encoding on the network."""

from onyxpost.edge.messages.datagrams import MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram
from onyxpost.edge.messages.effects import (
    CloseAttempt,
    Effect,
    Endpoint,
    FinalAnswer,
    RecordUnitsSpent,
    RetireEndpoint,
    ReturnLease,
    SendAnswer,
    SendAttempt,
    SendPeerMessage,
    StartTimer,
    WatchEndpoints,
    WithdrawAttempt,
)
from onyxpost.edge.messages.endpoint_updates import (
    LIFECYCLE_STATES,
    WireEndpoint,
    WireEndpointUpdate,
    build_endpoint_update,
    decode_endpoint_update,
)
from onyxpost.edge.messages.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientRequest,
    EdgeEvent,
    EndpointUpdate,
    EndpointUpdateFailed,
    Headers,
    UpstreamResponse,
)
from onyxpost.edge.messages.forwarded_headers import attempt_result, forwarded_request
from onyxpost.edge.messages.request_headers import MAX_BODY_BYTES, decode_request, encode_answer

__all__ = [
    "LIFECYCLE_STATES",
    "MAX_BODY_BYTES",
    "MAX_DATAGRAM_BYTES",
    "AttemptEnded",
    "ClientDisconnected",
    "ClientRequest",
    "CloseAttempt",
    "EdgeEvent",
    "Effect",
    "Endpoint",
    "EndpointUpdate",
    "EndpointUpdateFailed",
    "FinalAnswer",
    "Headers",
    "RecordUnitsSpent",
    "RetireEndpoint",
    "ReturnLease",
    "SendAnswer",
    "SendAttempt",
    "SendPeerMessage",
    "StartTimer",
    "UpstreamResponse",
    "WatchEndpoints",
    "WireEndpoint",
    "WireEndpointUpdate",
    "WithdrawAttempt",
    "attempt_result",
    "build_endpoint_update",
    "decode_datagram",
    "decode_endpoint_update",
    "decode_request",
    "encode_answer",
    "encode_datagram",
    "forwarded_request",
]
