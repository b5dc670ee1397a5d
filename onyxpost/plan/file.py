"""A planner's file, read by types; every error names its place."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from msgspec import Meta

from onyxpost.deployment import Given, GivenPlan, Unreadable, plans, typed
from onyxpost.edge import messages as m
from onyxpost.edge.node import Members
from onyxpost.interface import Plan
from onyxpost.plan.ledger import Terms


class File(Given):
    name: str
    listen: str
    planners: Members
    forwarders: Annotated[list[str], Meta(min_length=1, max_length=5000)]
    packages: Annotated[list[GivenPlan], Meta(min_length=1)]
    lease_ms: Annotated[float, Meta(ge=500.0, le=60_000.0)] = 2000.0
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.01
    log_level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class PlannerNode:
    name: str
    listen: m.Address
    version: int
    members: tuple[str, ...]
    forwarders: tuple[str, ...]
    plans: tuple[Plan, ...]
    terms: Terms
    share: float
    log_level: str


def addresses(members: Mapping[str, str], place: str) -> dict[str, m.Address]:
    found = {}
    for name, text in members.items():
        try:
            found[name] = m.address(text)
        except ValueError as err:
            raise Unreadable(f"{err} - at `$.{place}.members.{name}`") from err
    return found


def read(path: str) -> PlannerNode:
    try:
        with open(path, "rb") as file:
            fields = typed(file.read(), dict[str, Any], path)
    except OSError as err:
        raise Unreadable(f"{path}: {err.strerror}") from err
    return decode(fields, path)


def decode(fields: Any, where: str = "planner") -> PlannerNode:
    file = typed(fields, File, where)
    try:
        listen = m.address(file.listen)
        addresses(file.planners.members, "planners")
    except (ValueError, Unreadable) as err:
        raise Unreadable(f"{where}: {err}") from err
    if file.name not in file.planners.members:
        raise Unreadable(f"{where}: {file.name} is none of the planners - at `$.planners.members`")
    if len(set(file.forwarders)) < len(file.forwarders):
        raise Unreadable(f"{where}: a forwarder twice - at `$.forwarders`")
    return PlannerNode(
        file.name, listen, file.planners.version, tuple(sorted(file.planners.members)),
        tuple(file.forwarders), tuple(plans(file.packages)), Terms(file.lease_ms, file.drift),
        file.planners.share, file.log_level,
    )  # fmt: skip


def is_planner(fields: Any) -> bool:
    return isinstance(fields, dict) and "forwarders" in fields


