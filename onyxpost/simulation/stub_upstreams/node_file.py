"""Writes the file of a node that uses the stubs as its upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from onyxpost.config.decoding import read_json_file
from onyxpost.simulation.errors import ResultsNotWrittenError

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.stub_upstreams.environment import StubEnvironment


def write_node_file(example: Path, path: Path, environment: StubEnvironment) -> None:
    """Writes a copy of the example node file, with the stubs as its discovery agent and known endpoints.

    Raises ResultsNotWrittenError if the file cannot be written.
    """
    fields = read_json_file(str(example))
    fields["discovery"] = "{}:{}".format(*environment.agent.address)
    fields["known"] = environment.known_endpoints()
    try:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(fields)))
    except OSError as error:
        raise ResultsNotWrittenError(str(error.strerror), str(path)) from error
