"""Stub app servers and discovery agents, which run on sockets or on the virtual clock of a simulation."""

from onyxpost.simulation.stubs.app_server import AppServer, Malformation, ServerBehavior, malformed_response
from onyxpost.simulation.stubs.discovery_agent import DiscoveryAgent, EndpointsResponse
from onyxpost.simulation.stubs.http import ReceivedRequest, read_request
from onyxpost.simulation.stubs.observer import AttemptKey, NullObserver, RequestObserver, ServerIdentity

__all__ = [
    "AppServer",
    "AttemptKey",
    "DiscoveryAgent",
    "EndpointsResponse",
    "Malformation",
    "NullObserver",
    "ReceivedRequest",
    "RequestObserver",
    "ServerBehavior",
    "ServerIdentity",
    "malformed_response",
    "read_request",
]
