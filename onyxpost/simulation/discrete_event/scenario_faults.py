"""Faults and load changes, which a scenario file lists under `events` by their `kind`."""

from typing import Annotated

from msgspec import Meta, field

from onyxpost.simulation.discrete_event.scenario_sections import Duration, Positive, ScenarioSection, Share


class Fault(ScenarioSection, tag_field="kind"):
    """A fault that starts `at_s` seconds after the start of the run."""

    at_s: Duration


class TimedFault(Fault):
    """A fault that ends by itself, `duration_s` seconds after its start."""

    duration_s: Positive = field(name="for_s")


class Release(TimedFault, tag="release"):
    """A share of the servers is replaced in steps; each drains for `drain_s` seconds first."""

    share: Share
    steps: Annotated[int, Meta(ge=1, le=100)] = 5
    drain_s: Duration = 3.0


class NodesKilled(Fault, tag="kill"):
    """A share of the edge nodes is killed at once; each restarts after `restart_s` seconds."""

    share: Share
    restart_s: Positive = field(name="back_s", default=1.0)


class ZoneLost(TimedFault, tag="zone-lost"):
    """All servers of a zone die at once, and are replaced at the end of the fault."""

    zone: Annotated[int, Meta(ge=0)] = 0


class Partition(TimedFault, tag="split"):
    """A zone is partitioned from the others.

    Attributes:
        is_gossip_blocked: whether all gossip messages between edge nodes are lost during the partition.
        endpoint_delay_s: additional delay of endpoint updates during the partition.
    """

    zone: Annotated[int, Meta(ge=0)] = 0
    is_gossip_blocked: bool = field(name="deaf", default=True)
    endpoint_delay_s: Duration = field(name="list_late_s", default=4.0)


class SlowServers(TimedFault, tag="slow"):
    """A share of the servers is slower by a factor.

    A share of 1 models a slow shared dependency, a smaller share noisy neighbors.
    """

    factor: Positive = field(name="times")
    share: Share = 1.0


class FailingServers(TimedFault, tag="failing"):
    """A share of the servers answers some of its requests with an immediate error."""

    share: Share
    error_probability: Share = field(name="fails")


class HungServers(TimedFault, tag="hung"):
    """A share of the servers accepts requests but never answers them.

    Requests that are queued when the fault starts are lost.
    """

    share: Share


class LoadSurge(TimedFault, tag="surge"):
    """Customers of one plan, or of all plans if `plan` is empty, multiply their request rate by a factor."""

    factor: Positive = field(name="times")
    plan: str = ""


class ResponsesLost(TimedFault, tag="answers-lost"):
    """A share of the responses is lost: the connection breaks after the request was executed."""

    share: Share


class PlannersLost(TimedFault, tag="planners-lost"):
    """A share of the planners is killed; they restart without state at the end of the fault."""

    share: Share = 1.0


AnyFault = (
    PlannersLost
    | Release
    | NodesKilled
    | ZoneLost
    | Partition
    | SlowServers
    | FailingServers
    | HungServers
    | LoadSurge
    | ResponsesLost
)
