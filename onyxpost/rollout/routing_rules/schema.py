"""The schema of a rules file, which is TOML.

Unknown keys are rejected: if a misspelled condition were ignored, its rule would match more requests than
intended.
"""

from __future__ import annotations

import tomllib
from enum import StrEnum
from typing import Annotated, Final, Literal, NamedTuple

import msgspec
from msgspec import Meta

from onyxpost.rollout.routing_rules.errors import InvalidRulesError

MAX_FILE_BYTES = 65_536
MAX_ERROR_CHARS = 300

ANY_SERVER: Final = "any"
"""The fallback that permits all servers."""

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Names = Annotated[list[Name], Meta(min_length=1, max_length=1000)]
Weight = Annotated[float, Meta(gt=0.0, le=1e6)]
Weights = Annotated[dict[Name, Weight], Meta(min_length=1, max_length=100)]
Cells = Annotated[list[int], Meta(min_length=1, max_length=1000)]
CellWeights = Annotated[dict[int, Weight], Meta(min_length=1, max_length=100)]


class ServerAttribute(StrEnum):
    """An attribute by which a rule selects servers; the value is its key in the file."""

    ZONES = "zones"
    CELLS = "cells"
    NAMES = "names"


Criterion = list[str] | list[int] | dict[str, float] | dict[int, float]
"""The permitted values of an attribute: a list, or a mapping of each value to its weight."""


class StrictStruct(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Base of all tables of the file; rejects unknown keys."""


class ServerChoice(StrictStruct):
    """Selects the servers that meet all criteria.

    A criterion with weights assigns each customer to one of its values by hash. The customer's requests use
    servers of that value while one is available, and servers of the other values otherwise.
    """

    zones: Names | Weights | None = None
    cells: Cells | CellWeights | None = None
    names: Names | Weights | None = None

    def criteria(self) -> dict[ServerAttribute, Criterion]:
        """Returns the criteria that the file gives, by attribute."""
        criteria = {
            ServerAttribute.ZONES: self.zones,
            ServerAttribute.CELLS: self.cells,
            ServerAttribute.NAMES: self.names,
        }
        return {attribute: values for attribute, values in criteria.items() if values is not None}


class LocatedChoice(NamedTuple):
    """A choice of servers, and the path of its table relative to `servers`."""

    path: str
    choice: ServerChoice


class ServerSelection(ServerChoice):
    """A first choice of servers and its fallbacks.

    A fallback is used while no server of the choices before it is available.
    """

    fallbacks: Annotated[list[ServerChoice | Literal["any"]], Meta(max_length=20)] = []

    def choices(self) -> list[LocatedChoice]:
        """Returns the first choice and the fallbacks in their order, without `ANY_SERVER`."""
        fallbacks = [
            LocatedChoice(f".fallbacks[{index}]", fallback)
            for index, fallback in enumerate(self.fallbacks)
            if isinstance(fallback, ServerChoice)
        ]
        return [LocatedChoice("", self), *fallbacks]


class CustomerShare(StrictStruct):
    """The customers whose hash under this salt is below `share` times the range of hashes."""

    share: Annotated[float, Meta(gt=0.0, le=1.0)]
    salt: Annotated[str, Meta(max_length=200)] = ""


class Rule(StrictStruct):
    """Conditions on requests (its match), and restrictions on how these are served. All are optional.

    The conditions are `frontends`, `plans`, `customers` and `node_zones`, the zones of the nodes at which the
    rule applies. The restrictions are `servers`, `max_attempts` (the maximum number of attempts of a request)
    and `capacity_share` (the fraction of its servers' capacity that requests may use).
    """

    name: str = ""
    frontends: Names | None = None
    plans: Names | None = None
    customers: CustomerShare | None = None
    node_zones: Names | None = msgspec.field(default=None, name="at")
    servers: ServerSelection | None = None
    max_attempts: Annotated[int, Meta(ge=1)] | None = msgspec.field(default=None, name="attempts")
    capacity_share: Annotated[float, Meta(gt=0.0, le=1.0)] | None = msgspec.field(default=None, name="window")


class RulesFile(StrictStruct):
    """One version of the rules; rules may also name `additional_zones`, in which no known server is."""

    version: Annotated[int, Meta(ge=1, lt=2**53)]
    rules: Annotated[list[Rule], Meta(max_length=256)]
    additional_zones: Names | None = msgspec.field(default=None, name="zones")


def parse(data: bytes) -> RulesFile:
    """Parses the text of a rules file.

    Raises:
        InvalidRulesError: the text is too long, or not valid; the message names the place of the first error.
    """
    if len(data) > MAX_FILE_BYTES:
        raise InvalidRulesError(f"expected at most {MAX_FILE_BYTES} bytes, got at least {len(data)}")
    try:
        return msgspec.convert(tomllib.loads(data.decode()), type=RulesFile, str_keys=True)
    except (ValueError, RecursionError) as error:  # also TOML and UTF-8 errors, and overlong numbers
        raise InvalidRulesError(" ".join(str(error).split())[:MAX_ERROR_CHARS]) from error
