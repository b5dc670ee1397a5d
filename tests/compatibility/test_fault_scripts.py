"""Equal seeds draw the recorded fault scripts byte for byte.

An additional or reordered draw would change the faults of every seed, so that a seed that exposed a violation
would no longer reproduce it.
"""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING, Any

import pytest

from tests.compatibility import record_simulations, recorded, simulation_meanings
from tests.compatibility.simulation_meanings import ScriptDraw

if TYPE_CHECKING:
    from pathlib import Path

SCRIPTS: dict[str, Any] = recorded.load("fault-scripts.json")
DRAWN: dict[str, Any] = SCRIPTS["real processes"]
DETERMINISTIC: dict[str, Any] = SCRIPTS["deterministic"]
SEEDS_PER_TEST = 50


@pytest.fixture
def scenario(request: pytest.FixtureRequest, tmp_path: Path) -> str:
    """Returns the name of a shipped scenario, or the path of a scenario that is part of the recorded data."""
    name: str = request.param
    if name not in SCRIPTS["own scenarios"]:
        return name
    path = tmp_path / name
    path.write_text(SCRIPTS["own scenarios"][name], encoding="utf-8")
    return str(path)


def scenario_keys(part: str) -> list[Any]:
    """Returns each scenario with each key of one part of its records; the key of a list is an index."""
    return [
        pytest.param(name, key, id=f"{name}-{key}")
        for name, records in DRAWN.items()
        for key in (records[part] if isinstance(records[part], dict) else range(len(records[part])))
    ]


@pytest.mark.parametrize(("scenario", "seed"), scenario_keys("whole"), indirect=["scenario"])
def test_script_for_real_processes_is_drawn_as_recorded(
    scenario: str, seed: str, request: pytest.FixtureRequest
) -> None:
    expected = DRAWN[request.node.callspec.params["scenario"]]["whole"][seed]
    assert simulation_meanings.drawn_script(ScriptDraw(scenario, int(seed))).decode() == expected


@pytest.mark.parametrize("scenario", DRAWN, indirect=True)
def test_scripts_of_many_seeds_have_the_recorded_digests(
    scenario: str, request: pytest.FixtureRequest
) -> None:
    expected = DRAWN[request.node.callspec.params["scenario"]]["digests"]
    assert list(expected) == [str(seed) for seed in record_simulations.DIGEST_SEEDS]
    for seed, digest in expected.items():
        drawn = simulation_meanings.drawn_script(ScriptDraw(scenario, int(seed)))
        assert sha256(drawn).hexdigest() == digest, f"seed {seed}"


@pytest.mark.parametrize(("scenario", "index"), scenario_keys("sizes"), indirect=["scenario"])
def test_script_of_another_size_has_the_recorded_digest(
    scenario: str, index: int, request: pytest.FixtureRequest
) -> None:
    size = DRAWN[request.node.callspec.params["scenario"]]["sizes"][index]
    draw = ScriptDraw(scenario, record_simulations.SIZE_SEED, size["nodes"], size["seconds"])
    assert sha256(simulation_meanings.drawn_script(draw)).hexdigest() == size["script"]


@pytest.mark.parametrize("scenario", DRAWN, indirect=True)
def test_script_with_a_mutation_is_drawn_as_recorded(scenario: str, request: pytest.FixtureRequest) -> None:
    expected = DRAWN[request.node.callspec.params["scenario"]]["mutation"]
    draw = ScriptDraw(scenario, record_simulations.SIZE_SEED, 3, 4.0, record_simulations.MUTATION)
    assert simulation_meanings.drawn_script(draw).decode() == expected


@pytest.mark.parametrize("seed", DETERMINISTIC["whole"])
def test_deterministic_script_is_drawn_and_written_as_recorded(seed: str) -> None:
    assert simulation_meanings.deterministic_line(int(seed)).decode() == DETERMINISTIC["whole"][seed]


@pytest.mark.parametrize(
    "first", range(0, len(record_simulations.DETERMINISTIC_DIGEST_SEEDS), SEEDS_PER_TEST)
)
def test_deterministic_scripts_have_the_recorded_digests(first: int) -> None:
    for seed in range(first, first + SEEDS_PER_TEST):
        line = simulation_meanings.deterministic_line(seed)
        assert sha256(line).hexdigest() == DETERMINISTIC["digests"][str(seed)], f"seed {seed}"
