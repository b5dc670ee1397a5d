"""The fault script of a run, and its JSON file. No I/O.

The script can be replayed, the timing of sockets cannot; equal seeds draw equal scripts (`fault_draws.py`).
Times are in seconds since all processes were serving. The keys of the file are kept compatible with earlier
builds.
"""

from __future__ import annotations

from typing import Annotated, Literal, get_args

import msgspec
from msgspec import Meta, field

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError

SCRIPT_VERSION = 1

# "lose", "duplicate" and "reorder" affect datagrams only. "stall" and "reset" affect both directions of a
# link, "groups" all links between nodes without a common group, and "servers-cut" the links between a node
# and all app servers.
LinkFaultKind = Literal[
    "delay", "lose", "duplicate", "reorder", "cut", "groups", "servers-cut", "reset", "stall"
]
ProcessFaultKind = Literal["stop", "kill", "term", "all-killed"]
LeadershipFaultKind = Literal["alone", "bridge", "voters-killed", "late-act"]
ServerFaultKind = Literal["drain", "slow"]
FaultKind = Literal[LinkFaultKind, ProcessFaultKind, LeadershipFaultKind, ServerFaultKind]
FAULT_KINDS: tuple[str, ...] = get_args(FaultKind)
DATAGRAM_FAULTS = ("lose", "duplicate", "reorder")
GLOBAL_FAULTS = ("groups", "bridge", "all-killed", "voters-killed")

ALL_TARGETS = "all"
LINK_SEPARATOR = ">"
ACCEPTOR_COUNT = 3  # in the environment `leadership`, n0, n1 and n2 are acceptors


class FaultRate(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How often faults of one kind start, and the range of their durations in seconds."""

    per_minute: Annotated[float, Meta(ge=0.0, le=600.0)]
    duration_seconds: tuple[Annotated[float, Meta(gt=0.0)], Annotated[float, Meta(gt=0.0)]] = field(
        name="lasts_s", default=(0.5, 2.0)
    )


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True, order=True):
    """A fault of a script.

    Attributes:
        start_seconds: time of the start, since the start of the run.
        kind: the kind of fault.
        target: a node (`n1`), an app server (`s0`), the leader of a role at the start of the fault (`h1` for
            role 1), a link from one endpoint to another (`n1>n2`), or `all`.
        duration_seconds: duration of the fault.
        intensity: from 0 to 1; its meaning depends on the kind.
        groups: groups of nodes, for the kinds `groups` and `bridge`.
    """

    start_seconds: float = field(name="at")
    kind: FaultKind
    target: str = field(name="whom")
    duration_seconds: float = field(name="lasts")
    intensity: float = field(name="more", default=0.0)
    groups: tuple[tuple[str, ...], ...] = ()


class FaultScript(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All faults of one run, and its other inputs; `mutation` is empty for the program without mutation."""

    scenario: str
    seed: int
    nodes: int
    seconds: float
    faults: list[Fault]
    mutation: str = field(name="plant", default="")
    version: int = SCRIPT_VERSION


def encode_script(script: FaultScript) -> bytes:
    """Returns the content of a script's file."""
    return msgspec.json.format(msgspec.json.encode(script), indent=1) + b"\n"


def decode_script(data: bytes, source: str) -> FaultScript:
    """Decodes the content of a script's file.

    Args:
        data: the content.
        source: the name of the file, for errors.

    Raises:
        InvalidScenarioError: the content is not a script of this version, or has an unknown target.
    """
    try:
        script: FaultScript = msgspec.json.decode(data, type=FaultScript)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidScenarioError(str(error), source) from error
    if script.version != SCRIPT_VERSION:
        raise InvalidScenarioError(
            f"the script has version {script.version}, expected {SCRIPT_VERSION}", source
        )
    for index, fault in enumerate(script.faults):
        names_in_groups = [name for group in fault.groups for name in group]
        for name in [*link_ends(fault.target), *names_in_groups]:
            if not _is_valid_target(name, script.nodes):
                raise InvalidScenarioError(f"unknown target {name!r} - at `$.faults[{index}]`", source)
    return script


def link_ends(target: str) -> list[str]:
    """Returns both ends of a link, or the target itself if it is not a link."""
    return target.split(LINK_SEPARATOR)


def _is_valid_target(name: str, nodes: int) -> bool:
    if name == ALL_TARGETS:
        return True
    prefix = name[:1]
    if prefix not in ("n", "s", "d", "h") or not name[1:].isdigit():
        return False
    return prefix not in "nd" or int(name[1:]) < nodes
