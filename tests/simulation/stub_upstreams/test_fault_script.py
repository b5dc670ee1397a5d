"""Invalid fault scripts are rejected with the path of the invalid key."""

from pathlib import Path

import pytest

from onyxpost.simulation.errors import InvalidSimulationInputError
from onyxpost.simulation.stub_upstreams import read_fault_script


@pytest.mark.parametrize(
    ("text", "location"),
    [
        pytest.param('[[faults]]\nat_s = 1\nkind = "no"', "$.faults[0].kind", id="unknown kind"),
        pytest.param("[[faults]]\nat_s = -1", "$.faults[0]", id="negative time"),
        pytest.param(
            '[[faults]]\nat_s = 1\nkind = "hang"\nserver = 3', "$.faults[0].server", id="no such server"
        ),
        pytest.param("faults = 1", "$.faults", id="not a list"),
    ],
)
def test_an_invalid_script_is_rejected_with_the_location_of_its_error(
    tmp_path: Path, text: str, location: str
) -> None:
    path = tmp_path / "faults.toml"
    path.write_text(text)
    with pytest.raises(InvalidSimulationInputError) as error:
        read_fault_script(path, 3)
    assert location in str(error.value)
