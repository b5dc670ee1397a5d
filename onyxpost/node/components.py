"""Builds the components of an edge node and connects them to each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from onyxpost.edge.client_components import Clients, build_clients
from onyxpost.edge.descriptor_budget import DescriptorBudget
from onyxpost.edge.discovery_client import DiscoveryClient, DiscoveryOptions
from onyxpost.edge.event_processor import EventProcessor
from onyxpost.edge.messages import (
    CloseAttempt,
    Effect,
    RecordUnitsSpent,
    RetireEndpoint,
    ReturnLease,
    SendAnswer,
    SendAttempt,
    SendPeerMessage,
    WatchEndpoints,
    WithdrawAttempt,
)
from onyxpost.edge.peer_socket import PeerSocket
from onyxpost.edge.state_machine import EdgeStateMachine
from onyxpost.edge.upstream_pool import UpstreamPool, UpstreamPoolOptions
from onyxpost.node.extension_factory import build_extensions
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from onyxpost.node.extension import Extension
    from onyxpost.node.node_config import NodeConfig
    from onyxpost.runtime.transport import Transport


class NodeCallbacks(Protocol):
    """The calls that components make to their node."""

    def is_ready(self) -> bool:
        """Returns whether the node is in its serving phase."""

    def may_start_attempt(self, effect: SendAttempt, remaining_ms: float) -> bool:
        """Returns whether an attempt may still be written to its connection.

        Args:
            effect: the attempt.
            remaining_ms: the time until the attempt expires.
        """

    def descriptor_limit(self) -> int:
        """Returns how many file descriptors the node may have open."""

    def log(self, event: LogEvent) -> None:
        """Writes an event to the node's log."""

    def report_fault(self, operation: str, error: BaseException | None) -> None:
        """Logs an unexpected exception in an operation."""


@dataclass(frozen=True, slots=True)
class Components:
    """The components of one node."""

    state_machine: EdgeStateMachine
    event_processor: EventProcessor
    descriptors: DescriptorBudget
    clients: Clients
    upstream_pool: UpstreamPool
    discovery: DiscoveryClient
    peers: PeerSocket
    extensions: list[Extension]


def build_components(config: NodeConfig, transport: Transport, node: NodeCallbacks) -> Components:
    """Builds all components of a node without opening a socket."""
    deployment = config.deployment
    state_machine = EdgeStateMachine(deployment, deployment.build_gateway(transport.clock(), config.seed))
    event_processor = EventProcessor(state_machine, transport.clock, node.report_fault)
    extensions: list[Extension] = []
    clients = build_clients(
        deployment,
        transport,
        event_processor.post,
        node.is_ready,
        lambda: descriptors.has_client_capacity(),  # `descriptors` is defined below, since it needs `clients`
        node.report_fault,
        node.log,
    )
    options = UpstreamPoolOptions(
        connect_timeout_ms=deployment.connect_timeout_ms,
        keep_alive_ms=deployment.keep_alive_ms,
        has_capacity=lambda: descriptors.has_upstream_capacity(),
        accepts_attempts=state_machine.endpoints.accepts_attempts,
        may_start_attempt=node.may_start_attempt,
        report_fault=node.report_fault,
    )
    upstream_pool = UpstreamPool(transport, event_processor.post, options)
    descriptors = DescriptorBudget(
        node.descriptor_limit,
        clients,
        upstream_pool,
        lambda: sum(extension.descriptor_count() for extension in extensions),
    )
    discovery = _build_discovery(config, transport, event_processor, node)
    extensions += build_extensions(config, transport, event_processor.post, node.log)
    peers = PeerSocket(transport, config.peers, deployment.node_index, event_processor.post)
    components = Components(
        state_machine, event_processor, descriptors, clients, upstream_pool, discovery, peers, extensions
    )
    _register_effect_handlers(components, node)
    return components


def _build_discovery(
    config: NodeConfig, transport: Transport, event_processor: EventProcessor, node: NodeCallbacks
) -> DiscoveryClient:
    options = DiscoveryOptions(
        address=config.discovery,
        alternative_address=config.alternative_discovery,
        generation=config.known_endpoints.generation,
        seed=config.seed,
        is_shared_service=config.deployment.polls_endpoints,
    )
    return DiscoveryClient(transport, options, event_processor.post, node.log)


def _register_effect_handlers(components: Components, node: NodeCallbacks) -> None:
    """Registers for each type of effect the component that carries it out."""
    clients = components.clients
    upstream_pool = components.upstream_pool
    discovery = components.discovery
    handlers = components.event_processor.effect_handlers
    handlers.update(
        {
            SendAttempt: upstream_pool.start_attempt,
            CloseAttempt: lambda effect: upstream_pool.cancel(effect.attempt_id),
            WithdrawAttempt: lambda effect: upstream_pool.withdraw(effect.attempt_id),
            RetireEndpoint: lambda effect: upstream_pool.retire_endpoint(effect.endpoint),
            SendAnswer: clients.send_answer,
            SendPeerMessage: components.peers.send,
            RecordUnitsSpent: _ignore_effect,
            ReturnLease: _ignore_effect,
            WatchEndpoints: lambda _effect: discovery.start(),
            LogEvent: node.log,
        }
    )
    for extension in components.extensions:
        handlers.update(extension.effect_handlers())


def _ignore_effect(effect: Effect) -> None:
    """Discards an effect whose extension this node does not have."""
