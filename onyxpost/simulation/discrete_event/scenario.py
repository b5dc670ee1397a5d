"""What a run of the laboratory is told: a TOML file, typed and checked; unknown keys are refused."""

from __future__ import annotations

import importlib.resources
import importlib.resources.abc
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from onyxpost.core.types import DeduplicationScope, Frontend, GatewayLimits, Idempotency, SlowStartPolicy
from onyxpost.simulation.errors import InvalidFaultScriptError, SimulationFileError

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
Time = Annotated[float, Meta(ge=0.0)]  # ms, or s where the key says so
Count = Annotated[int, Meta(ge=1, le=5000)]
Range = tuple[Time, Time]


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class Fleet(Part):
    nodes: Count
    servers: Count
    zones: Annotated[int, Meta(ge=1, le=64)] = 3
    cells: Annotated[int, Meta(ge=1, le=64)] = 2
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    speed: tuple[Positive, Positive] = (0.85, 1.15)
    queue: Annotated[int, Meta(ge=0)] = 48  # reqs that may wait at one server
    connections: Annotated[int, Meta(ge=1)] = 400  # that one server holds
    handshake_ms: Time = 1.5  # work at the server, and time on the first req
    keep_alive_ms: Positive = 15_000.0


class Links(Part):
    within_ms: Range = (0.2, 0.5)
    between_ms: Range = (1.0, 2.5)
    peer_ms: Range = (2.0, 15.0)
    peer_loss: Share = 0.04
    peer_intake: Positive = 40.0  # messages that one node takes in a second
    connect_timeout_ms: Positive = 250.0


class Lists(Part):
    late_ms: Range = (300.0, 1500.0)  # after which a node hears of a change


class Work(Part):
    name: str
    share: Positive
    work_ms: tuple[Positive, Positive]
    response_target_ms: Positive
    client_timeout_ms: Positive
    value: Positive = 1.0
    late_value: Share = 0.0
    units: Annotated[int, Meta(ge=1, le=64)] = 1
    effect: Idempotency = Idempotency.IDEMPOTENT
    group: DeduplicationScope = DeduplicationScope.ALL
    repeat_window_ms: Time = 3000.0

    def frontend(self) -> Frontend:
        return Frontend(
            self.name,
            self.response_target_ms,
            self.client_timeout_ms,
            self.effect,
            self.group,
            self.repeat_window_ms,
            self.value,
            self.late_value,
            0.0,
            False,
        )


class Tariff(Part):
    name: str
    customers: Count
    weight: Positive  # one customer's quota beside those of other plans
    burst_s: tuple[Positive, Positive] = (3.0, 6.0)  # of its quota's filling
    spread: tuple[Count, Count] = (2, 4)
    price: Positive = 1.0
    ceiling: Annotated[float, Meta(ge=0.0)] = 0.0  # times the quota; 0: none


class Customers(Part):
    busy: Positive = 0.5  # use inside the quotas, as a share of what the fleet can do
    steady: tuple[Positive, Positive] = (0.3, 0.9)  # of its quota that a customer asks for
    greedy: Share = 0.08  # of customers, which ask for far more
    greedy_times: tuple[Positive, Positive] = (2.0, 5.0)
    shift_s: tuple[Positive, Positive] = (7.0, 20.0)  # after which other nodes get most of a customer's reqs
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    retry_ms: Range = (20.0, 200.0)
    patience: tuple[Positive, Positive] = (0.5, 1.0)  # of the client timeout
    front_s: Time = 2.0  # until the front has noticed that a node died


class Cold(Part):
    start_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2
    warm_ms: Positive = 15_000.0
    multiple: Positive = 4.0
    window_ms: Positive = 1500.0

    def rule(self) -> SlowStartPolicy:
        return SlowStartPolicy(self.start_share, self.warm_ms, self.multiple, self.window_ms)


class Event(Part, tag_field="kind"):
    at_s: Time


class Lasting(Event):
    for_s: Positive


class Release(Lasting, tag="release"):
    """Servers are replaced in steps, each drained first."""

    share: Share
    steps: Annotated[int, Meta(ge=1, le=100)] = 5
    drain_s: Time = 3.0


class Kill(Event, tag="kill"):
    """Edge nodes are killed at once and start again."""

    share: Share
    back_s: Positive = 1.0


class ZoneLost(Lasting, tag="zone-lost"):
    """All servers of one zone die at once and come back cold."""

    zone: Annotated[int, Meta(ge=0)] = 0


class Split(Lasting, tag="split"):
    """One zone cannot reach the others; messages between nodes are lost, and lists come later still."""

    zone: Annotated[int, Meta(ge=0)] = 0
    deaf: bool = True
    list_late_s: Time = 4.0


class Slow(Lasting, tag="slow"):
    """Servers are slower by a factor: a shared dependency where the share is 1, else noisy neighbours."""

    times: Positive
    share: Share = 1.0


class Failing(Lasting, tag="failing"):
    """Servers quickly fail a part of their reqs."""

    share: Share
    fails: Share


class Hung(Lasting, tag="hung"):
    """Servers take reqs and answer nothing; what they hold is lost."""

    share: Share


class Surge(Lasting, tag="surge"):
    """One plan's customers, or all, ask for so many times as much."""

    times: Positive
    plan: str = ""


class AnswersLost(Lasting, tag="answers-lost"):
    """Connections break before the answer, though the req ran."""

    share: Share


class PlannersLost(Lasting, tag="planners-lost"):
    """Planners die and come back empty."""

    share: Share = 1.0


class Planners(Part):
    """Allowances come from planners in place of the nodes' gossip."""

    count: Annotated[int, Meta(ge=1, le=64)]
    share: Annotated[float, Meta(gt=0.0, le=0.5)] = 0.2
    lease_ms: Annotated[float, Meta(ge=500.0, le=60_000.0)] = 2000.0


Events = PlannersLost | Release | Kill | ZoneLost | Split | Slow | Failing | Hung | Surge | AnswersLost


class Scenario(Part):
    name: str
    about: str
    seconds: Annotated[float, Meta(gt=0.0, le=3600.0)]
    fleet: Fleet
    work: Annotated[list[Work], Meta(min_length=1)]
    plans: Annotated[list[Tariff], Meta(min_length=1)]
    links: Links = msgspec.field(default_factory=Links)
    lists: Lists = msgspec.field(default_factory=Lists)
    customers: Customers = msgspec.field(default_factory=Customers)
    cold: Cold = msgspec.field(default_factory=Cold)
    planners: Planners | None = None
    drain_grace_ms: Positive = 250.0
    attempts: Annotated[int, Meta(ge=1, le=20)] = 5
    longest_retry_after_ms: Time = 1000.0
    events: list[Events] = []

    def allowed(self) -> GatewayLimits:
        return GatewayLimits(
            self.attempts,
            True,
            True,
            True,
            self.longest_retry_after_ms,
            self.links.peer_intake,
            self.planners.share if self.planners is not None else 0.0,
        )


RANGES = {
    "fleet": ("speed",),
    "links": ("within_ms", "between_ms", "peer_ms"),
    "lists": ("late_ms",),
    "customers": ("steady", "greedy_times", "shift_s", "retry_ms", "patience"),
}


def read(text: str, where: str) -> Scenario:
    return _checked(lambda: msgspec.toml.decode(text, type=Scenario), where)


def _checked(decode: Callable[[], Scenario], where: str) -> Scenario:
    try:
        scenario = decode()
    except msgspec.DecodeError as err:  # of its form, or of a value: msgspec names the place
        raise InvalidFaultScriptError(str(err), where) from err
    _consistent(scenario, where)
    return scenario


def load(name: str) -> Scenario:
    """A file's path, or the name of one that is shipped."""
    path = Path(name)
    if path.suffix != ".toml" and name in shipped():
        return read(_place().joinpath(f"{name}.toml").read_text(), name)
    try:
        return read(path.read_text(), name)
    except (OSError, UnicodeDecodeError) as err:
        why = getattr(err, "strerror", None) or err
        raise SimulationFileError(f"{why}; shipped are: {', '.join(shipped())}", name) from err


def shipped() -> list[str]:
    return sorted(p.name[:-5] for p in _place().iterdir() if p.name.endswith(".toml"))


def resized(scenario: Scenario, nodes: int | None, servers: int | None) -> Scenario:
    """The same day on a fleet of another size; customers keep to sets of the same part of it."""
    fleet = scenario.fleet
    nodes, servers = nodes or fleet.nodes, servers or fleet.servers
    part = nodes / fleet.nodes
    plans = [
        msgspec.structs.replace(
            plan,
            customers=max(1, round(plan.customers * servers / fleet.servers)),
            spread=(max(1, round(plan.spread[0] * part)), max(1, round(plan.spread[1] * part)))
            if plan.spread[1] > fleet.nodes // 4
            else (min(nodes, plan.spread[0]), min(nodes, plan.spread[1])),
        )
        for plan in scenario.plans
    ]
    sized = msgspec.structs.replace(fleet, nodes=nodes, servers=servers)
    changed = msgspec.structs.replace(scenario, fleet=sized, plans=plans)
    # Through the checks again: a size from the command line is as wrong as one from a file.
    return unpacked(packed(changed), scenario.name)


def packed(scenario: Scenario) -> bytes:
    return msgspec.json.encode(scenario)


def unpacked(data: bytes, where: str) -> Scenario:
    return _checked(lambda: msgspec.json.decode(data, type=Scenario), where)


def _place() -> importlib.resources.abc.Traversable:
    return importlib.resources.files(__package__) / "scenarios"


def _consistent(s: Scenario, where: str) -> None:
    def refuse(place: str, why: str) -> None:
        raise InvalidFaultScriptError(f"{why} - at `$.{place}`", where)

    for part, names in RANGES.items():
        for name in names:
            low, high = getattr(getattr(s, part), name)
            if low > high:
                refuse(f"{part}.{name}", f"{low} to {high} is no range")
    for i, work in enumerate(s.work):
        if work.work_ms[0] > work.work_ms[1]:
            refuse(f"work[{i}].work_ms", "no range")
        if work.response_target_ms > work.client_timeout_ms:
            refuse(f"work[{i}].response_target_ms", "longer than the client timeout")
    for i, plan in enumerate(s.plans):
        if plan.spread[0] > plan.spread[1] or plan.burst_s[0] > plan.burst_s[1]:
            refuse(f"plans[{i}]", "a range that is none")
        if plan.spread[1] > s.fleet.nodes:
            refuse(f"plans[{i}].spread", f"{plan.spread[1]} of {s.fleet.nodes} nodes")
    for place, named in (("work", [w.name for w in s.work]), ("plans", [p.name for p in s.plans])):
        if len(set(named)) < len(named):
            refuse(place, "a name twice")
    if s.fleet.zones > s.fleet.servers:
        refuse("fleet.zones", "more zones than servers")
    for i, event in enumerate(s.events):
        zone = getattr(event, "zone", 0)
        if zone >= s.fleet.zones:
            refuse(f"events[{i}].zone", f"there are {s.fleet.zones} zones, numbered from 0")
        if event.at_s >= s.seconds:
            refuse(f"events[{i}].at_s", "after the end")
        if isinstance(event, Surge) and event.plan and event.plan not in {p.name for p in s.plans}:
            refuse(f"events[{i}].plan", f"no plan {event.plan}")
