"""Faults of stub app servers and of their discovery, as written in a TOML file."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, field

from onyxpost.simulation.errors import InvalidFaultScriptError, SimulationFileError

if TYPE_CHECKING:
    from pathlib import Path


class StubFaultKind(StrEnum):
    """What happens to a server, or to discovery; the values are those of the file."""

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
    """A fault.

    Attributes:
        at_seconds: Time of its start, from the start of the run.
        kind: What happens.
        duration_seconds: Time until it ends; a server that drains or crashed is then replaced.
        server: Index of the server.
        latency_ms: Of a slow server.
    """

    at_seconds: Annotated[float, Meta(ge=0.0)] = field(name="at_s")
    kind: StubFaultKind
    duration_seconds: Annotated[float, Meta(gt=0.0)] = field(default=1.0, name="for_s")
    server: Annotated[int, Meta(ge=0)] = 0
    latency_ms: Annotated[float, Meta(ge=0.0)] = field(default=1000.0, name="delay_ms")


class StubFaultScript(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of a run, in any order."""

    faults: list[StubFault] = []


def read_fault_script(path: Path, server_count: int) -> StubFaultScript:
    """Reads a file of faults for servers 0 to `server_count` - 1.

    Raises:
        InvalidFaultScriptError: The file does not have this form, or names a server that is not there.
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
            reason = f"there are {server_count} servers, numbered from 0"
            raise InvalidFaultScriptError(f"{reason} - at `$.faults[{index}].server`", str(path))
    return script
