"""The section `duties` of a node's file: roles, acceptors and timing. Every error names the invalid key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta, field

from onyxpost.config.address import Address, parse_address
from onyxpost.config.decoding import Settings, decode_as
from onyxpost.errors import InvalidInputError, with_key_path
from onyxpost.leadership.acceptor_set import AcceptorSet, validate_acceptor_set
from onyxpost.leadership.ballots import Name
from onyxpost.leadership.errors import LeadershipConfigError
from onyxpost.leadership.role_lease_timing import RoleLeaseTiming

SECTION = "duties"
SECTION_PATH = f"$.{SECTION}"


class LeadershipSection(Settings):
    """The section as written in the file; `field(name=...)` gives a key that differs from the attribute."""

    version: Annotated[int, Meta(ge=1, lt=2**53)]
    acceptors: Annotated[list[Name], Meta(min_length=3, max_length=7)] = field(name="voters")
    roles: Annotated[list[Name], Meta(min_length=1, max_length=256)] = field(name="names")
    previous_acceptors: Annotated[list[Name], Meta(max_length=7)] = field(name="before", default_factory=list)
    excluded_nodes: dict[str, list[Name]] = field(name="barred", default_factory=dict)
    lease_ms: Annotated[float, Meta(ge=200.0, le=60_000.0)] = 2000.0
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.01
    skew_ms: Annotated[float, Meta(ge=50.0, le=60_000.0)] = 500.0
    log_path: str | None = field(name="disk", default=None)
    fenced_resource: str | None = field(name="acts", default=None)
    report_interval_ms: Annotated[float, Meta(ge=50.0, le=600_000.0)] = field(name="act_ms", default=1000.0)


@dataclass(frozen=True, slots=True)
class LeadershipConfig:
    """The validated section.

    `nodes` are the members of the cluster; each may lead any role unless `excluded_nodes` lists it there.
    Leaders report to `fenced_resource` every `report_interval_ms`; None: no reports. Acceptors keep a log at
    `log_path`; None: their state is lost at a restart.
    """

    acceptors: AcceptorSet
    roles: tuple[str, ...]
    nodes: tuple[str, ...]
    excluded_nodes: dict[str, tuple[str, ...]]
    timing: RoleLeaseTiming
    log_path: str | None
    fenced_resource: Address | None
    report_interval_ms: float


def decode_leadership_config(data: Any, nodes: tuple[str, ...]) -> LeadershipConfig:  # noqa: ANN401  decoded JSON
    """Validates the section, given as decoded JSON; `nodes` are the members of the cluster.

    Raises:
        LeadershipConfigError: a key is missing, unknown or has an invalid value.
        MembershipChangeError: the acceptor set must not follow the previous one that the section names.
    """
    try:
        section = decode_as(data, LeadershipSection, SECTION)
    except InvalidInputError as error:
        raise LeadershipConfigError(str(error).replace("`$", f"`{SECTION_PATH}")) from error
    _check_acceptors(section, nodes)
    _check_excluded_nodes(section, nodes)
    acceptors = AcceptorSet(section.version, tuple(section.acceptors), tuple(section.previous_acceptors))
    validate_acceptor_set(acceptors, SECTION_PATH)
    return LeadershipConfig(
        acceptors=acceptors,
        roles=tuple(section.roles),
        nodes=nodes,
        excluded_nodes={
            role: tuple(excluded_nodes) for role, excluded_nodes in section.excluded_nodes.items()
        },
        timing=RoleLeaseTiming(section.lease_ms, section.drift, section.skew_ms),
        log_path=section.log_path,
        fenced_resource=_resource_address(section),
        report_interval_ms=section.report_interval_ms,
    )


def _check_acceptors(section: LeadershipSection, nodes: tuple[str, ...]) -> None:
    lists = {"voters": section.acceptors, "names": section.roles, "before": section.previous_acceptors}
    for key, names in lists.items():
        if len(set(names)) < len(names):
            raise _error(f"expected distinct names, got {', '.join(names)}", key)
    unknown = set(section.acceptors) - set(nodes)
    if unknown:
        raise _error(f"{min(unknown)} is not one of the members in `fleet.members`", "voters")
    if len(section.acceptors) % 2 == 0 and not section.previous_acceptors:
        raise _error(
            f"expected 3, 5 or 7 voters (4 or 6 if `before` is set), got {len(section.acceptors)}", "voters"
        )


def _check_excluded_nodes(section: LeadershipSection, nodes: tuple[str, ...]) -> None:
    for role, excluded_nodes in section.excluded_nodes.items():
        if role not in section.roles:
            raise _error("the role is not listed in `names`", f"barred.{role}")
        if set(nodes) <= set(excluded_nodes):
            raise _error(f"all {len(nodes)} nodes are barred, so no node can lead the role", f"barred.{role}")


def _resource_address(section: LeadershipSection) -> Address | None:
    if section.fenced_resource is None:
        return None
    try:
        return parse_address(section.fenced_resource)
    except ValueError as error:
        raise _error(str(error), "acts") from error


def _error(message: str, key: str) -> LeadershipConfigError:
    return LeadershipConfigError(with_key_path(message, f"{SECTION}.{key}"))
