"""A scenario of the discrete-event simulation, as defined by its TOML file."""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from onyxpost.core.types import GatewayLimits
from onyxpost.simulation.discrete_event.scenario_faults import AnyFault
from onyxpost.simulation.discrete_event.scenario_sections import (
    ClientSection,
    ClusterSection,
    Duration,
    EndpointUpdateSection,
    NetworkSection,
    PlannerSection,
    PlanSection,
    Positive,
    ScenarioSection,
    SlowStartSection,
    WorkloadSection,
)


class Scenario(ScenarioSection):
    """The parameters of a run. A scenario and a seed determine the run completely.

    Attributes:
        about: a description in one line.
        seconds: simulated duration.
        planners: None if nodes exchange usage by gossip.
        drain_grace_ms: time for which a node may still send requests to a server after notice of its drain.
        max_attempts: maximum number of attempts of one request.
        max_retry_after_ms: largest `Retry-After` that a node may send.
        events: faults and load changes.
    """

    name: str
    about: str
    seconds: Annotated[float, Meta(gt=0.0, le=3600.0)]
    cluster: ClusterSection = field(name="fleet")
    workloads: Annotated[list[WorkloadSection], Meta(min_length=1)] = field(name="work")
    plans: Annotated[list[PlanSection], Meta(min_length=1)]
    network: NetworkSection = field(name="links", default_factory=NetworkSection)
    endpoint_updates: EndpointUpdateSection = field(name="lists", default_factory=EndpointUpdateSection)
    clients: ClientSection = field(name="customers", default_factory=ClientSection)
    slow_start: SlowStartSection = field(name="cold", default_factory=SlowStartSection)
    planners: PlannerSection | None = None
    drain_grace_ms: Positive = 250.0
    max_attempts: Annotated[int, Meta(ge=1, le=20)] = field(name="attempts", default=5)
    max_retry_after_ms: Duration = field(name="longest_retry_after_ms", default=1000.0)
    events: list[AnyFault] = field(default_factory=list)

    def gateway_limits(self) -> GatewayLimits:
        """Returns the limits that the deployment sets for each node's gateway."""
        return GatewayLimits(
            self.max_attempts,
            True,
            True,
            True,
            self.max_retry_after_ms,
            self.network.peer_messages_per_second,
            self.planners.safe_share if self.planners is not None else 0.0,
        )


def encode_scenario(scenario: Scenario) -> bytes:
    """Encodes a scenario as JSON, for a worker process."""
    return msgspec.json.encode(scenario)
