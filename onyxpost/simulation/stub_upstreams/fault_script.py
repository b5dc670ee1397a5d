"""Fault scripts for stub app servers and their discovery agent, read from TOML files."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, field

from onyxpost.simulation.errors import InvalidFaultScriptError, SimulationFileError

if TYPE_CHECKING:
    from pathlib import Path


class StubFaultKind(StrEnum):
    """Kinds of faults of a server or of the discovery agent; the values are those of the file."""

    HANG = "hang"
    FAIL = "fail"
    BUSY = "busy"
    DROP = "drop"
    SLOW = "slow"
    MALFORMED_RESPONSES = "spoil"
    DRAIN = "drain"
    CRASH = "crash"
    DISCOVERY_SILENT = "discovery-silent"


class StubFault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault of a server or of the discovery agent.

    Attributes:
        at_seconds: Start time, from the start of the run.
        kind: Kind of the fault.
        duration_seconds: Time until the fault ends; a server that was drained or crashed is replaced then.
        server: Index of the affected server; ignored for a fault of discovery.
        latency_ms: Latency of the server during a fault of kind `slow`.
    """

    at_seconds: Annotated[float, Meta(ge=0.0)] = field(name="at_s")
    kind: StubFaultKind
    duration_seconds: Annotated[float, Meta(gt=0.0)] = field(default=1.0, name="for_s")
    server: Annotated[int, Meta(ge=0)] = 0
    latency_ms: Annotated[float, Meta(ge=0.0)] = field(default=1000.0, name="delay_ms")


class StubFaultScript(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of a run; their order does not matter."""

    faults: list[StubFault] = []


def read_fault_script(path: Path, server_count: int) -> StubFaultScript:
    """Reads a fault script for servers 0 to `server_count` - 1.

    Raises:
        InvalidFaultScriptError: The file is malformed, or names a server that does not exist.
        SimulationFileError: The file cannot be read.
    """
    try:
        script = msgspec.toml.decode(path.read_bytes(), type=StubFaultScript)
    except msgspec.DecodeError as error:
        raise InvalidFaultScriptError(str(error), str(path)) from error
    except OSError as error:
        raise SimulationFileError(str(error.strerror), str(path)) from error
    for index, fault in enumerate(script.faults):
        if fault.server >= server_count:
            reason = f"no such server; there are {server_count} servers, numbered from 0"
            raise InvalidFaultScriptError(f"{reason} - at `$.faults[{index}].server`", str(path))
    return script
