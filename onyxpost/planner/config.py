"""Decodes a planner's file into a typed configuration. Errors name the key at fault, if there is one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Literal

from msgspec import Meta

from onyxpost.config.address import Address, parse_address_at
from onyxpost.config.decoding import Settings, decode_as, read_json_file
from onyxpost.config.deployment import build_plans
from onyxpost.config.planner_settings import PlannerSettings
from onyxpost.config.settings import PlanSettings
from onyxpost.errors import ConflictingValuesError, with_key_path
from onyxpost.planner.lease_terms import LeaseTerms

if TYPE_CHECKING:
    from onyxpost.core.types import Plan

MAX_FORWARDERS = 5000


class PlannerFile(Settings):
    """Schema of a planner's JSON file; each attribute has the name of its key.

    `packages` are the plans of customers; `lease_ms` and `drift` become the planner's `LeaseTerms`.
    """

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
    """Validated configuration of one planner; a reload replaces it as a whole."""

    name: str
    listen: Address
    membership_version: int
    planners: tuple[str, ...]
    forwarders: tuple[str, ...]
    plans: tuple[Plan, ...]
    lease_terms: LeaseTerms
    safe_share: float  # part of each quota that forwarders may use without a lease
    log_level: str


def read_config(path: str) -> PlannerConfig:
    """Reads and decodes a planner's file.

    Raises:
        InvalidInputError: the file cannot be read, is not JSON or has an invalid value.
    """
    return decode_config(read_json_file(path), path)


def decode_config(fields: object, source: str = "planner") -> PlannerConfig:
    """Decodes the parsed JSON of a planner's file.

    Args:
        fields: the parsed JSON.
        source: the file's path, or another name for errors.

    Raises:
        InvalidInputError: a key is missing, or a value is invalid or conflicts with another one.
    """
    file = decode_as(fields, PlannerFile, source)
    listen = parse_address_at("listen", file.listen, source)
    for name, text in file.planners.members.items():
        parse_address_at(f"planners.members.{name}", text, source)
    if file.name not in file.planners.members:
        raise ConflictingValuesError(
            with_key_path(f"this planner's name, {file.name}, is not among the members", "planners.members"),
            source,
        )
    if len(set(file.forwarders)) < len(file.forwarders):
        raise ConflictingValuesError(
            with_key_path("expected distinct names, got a forwarder more than once", "forwarders"), source
        )
    return PlannerConfig(
        name=file.name,
        listen=listen,
        membership_version=file.planners.version,
        planners=tuple(sorted(file.planners.members)),
        forwarders=tuple(file.forwarders),
        plans=tuple(build_plans(file.packages)),
        lease_terms=LeaseTerms(file.lease_ms, file.drift),
        safe_share=file.planners.safe_share,
        log_level=file.log_level,
    )


def is_planner_file(fields: object) -> bool:
    """Returns whether parsed JSON is a planner's file; an edge node's file has no key `forwarders`."""
    return isinstance(fields, dict) and "forwarders" in fields
