"""A planner's file: decoded once into a typed configuration; every error names the key at fault."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Literal

from msgspec import Meta

from onyxpost.config.address import Address, parse_address_at
from onyxpost.config.decoding import Settings, decode_as, read_json_file
from onyxpost.config.deployment import build_plans
from onyxpost.config.planners import PlannerSettings
from onyxpost.config.settings import PlanSettings
from onyxpost.errors import ConflictingValuesError, at_key
from onyxpost.planner.lease_terms import LeaseTerms

if TYPE_CHECKING:
    from onyxpost.core.types import Plan

MAX_FORWARDERS = 5000


class PlannerFile(Settings):
    """The keys of a planner's JSON file."""

    name: str
    listen: str
    planners: PlannerSettings
    forwarders: Annotated[list[str], Meta(min_length=1, max_length=MAX_FORWARDERS)]
    packages: Annotated[list[PlanSettings], Meta(min_length=1)]
    lease_ms: Annotated[float, Meta(ge=500.0, le=60_000.0)] = 2000.0
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.01
    log_level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class PlannerConfig:
    """Configuration of one planner."""

    name: str
    listen: Address
    membership_version: int
    planners: tuple[str, ...]
    forwarders: tuple[str, ...]
    plans: tuple[Plan, ...]
    lease_terms: LeaseTerms
    safe_share: float  # the part of each quota that forwarders use without a lease
    log_level: str


def read_config(path: str) -> PlannerConfig:
    """Reads a planner's file. Raises InvalidInputError for one that cannot be used."""
    return decode_config(read_json_file(path), path)


def decode_config(fields: object, source: str = "planner") -> PlannerConfig:
    """Decodes the content of a planner's file; errors name the `source`."""
    file = decode_as(fields, PlannerFile, source)
    listen = parse_address_at("listen", file.listen, source)
    for name, text in file.planners.members.items():
        parse_address_at(f"planners.members.{name}", text, source)
    if file.name not in file.planners.members:
        raise ConflictingValuesError(
            at_key(f"{file.name} is none of the planners", "planners.members"), source
        )
    if len(set(file.forwarders)) < len(file.forwarders):
        raise ConflictingValuesError(at_key("a forwarder twice", "forwarders"), source)
    return PlannerConfig(
        name=file.name,
        listen=listen,
        membership_version=file.planners.version,
        planners=tuple(sorted(file.planners.members)),
        forwarders=tuple(file.forwarders),
        plans=tuple(build_plans(file.packages)),
        lease_terms=LeaseTerms(file.lease_ms, file.drift),
        safe_share=file.planners.share,
        log_level=file.log_level,
    )


def is_planner_file(fields: object) -> bool:
    """Whether the content of a file is a planner's, and not a node's."""
    return isinstance(fields, dict) and "forwarders" in fields
