"""`onyxpost lab rig`: many seeds of one scenario in turn."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import told


@click.command()
@click.argument("scenario", required=False)
@click.option("--nodes", type=int, help="Processes, in place of the scenario's; up to 64.")
@click.option("--seeds", default="1", show_default=True, help="Seeds, as in 1-20 or 1,4,9-12.")
@click.option("--seconds", type=float, help="In place of the scenario's; up to 600.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="JSON lines, a seed each.")
@click.option("--kept", type=click.Path(file_okay=False, path_type=Path), help="Keep failing seeds there.")
@click.option("--replay", type=click.Path(dir_okay=False, path_type=Path), help="Play a kept script.json.")
@click.option("--plant", default="", help="A bug to put in, to see that it is found.")
@told
def rig(
    scenario: str | None,
    nodes: int | None,
    seeds: str,
    seconds: float | None,
    out: Path | None,
    kept: Path | None,
    replay: Path | None,
    plant: str,
) -> None:
    """Play SCENARIO (a TOML file, or the name of a shipped one) with real processes on loopback.

    Exit 0: played, no rule broken. Exit 1: a rule was broken. Exit 2: something given cannot be used.
    Exit 130: interrupted; what was finished is kept, and no process is left.
    """
    from onyxpost.simulation.discrete_event.batch import seeds as numbers
    from onyxpost.simulation.multiprocess import leadership_mutations, runner
    from onyxpost.simulation.multiprocess import scenario as scenarios
    from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
    from onyxpost.simulation.multiprocess.fault_script import Script, decode
    from onyxpost.simulation.multiprocess.mutated_program import PLANTS
    from onyxpost.simulation.mutations import current_name

    if current_name(plant) not in PLANTS:
        raise InvalidScenarioError(
            f"no plant {plant!r}; there are {', '.join(name for name in PLANTS if name)}"
        )
    scripts: list[Script]
    if replay is not None:
        try:
            scripts = [decode(replay.read_bytes(), str(replay))]
        except OSError as err:
            raise InvalidScenarioError(str(err.strerror), str(replay)) from err
        first = scripts[0]
        one = scenarios.sized(scenarios.load(scenario or first.scenario), first.nodes, first.seconds)
    elif scenario is None:
        raise InvalidScenarioError(f"no scenario; shipped are {', '.join(scenarios.shipped())}")
    else:
        one = scenarios.sized(scenarios.load(scenario), nodes, seconds)
        scripts = [scenarios.scripted(one, seed, plant) for seed in numbers(seeds)]
    if one.stage != "duties" and any(script.plant in leadership_mutations.PLANTS for script in scripts):
        raise InvalidScenarioError(
            f"the bug {scripts[0].plant!r} is of duties, not of stage {one.stage!r}", one.name
        )
    lines: list[dict[str, Any]] = []
    broken, interrupted = 0, False
    try:
        for script in scripts:
            began = time.perf_counter()
            outcome = runner.play(one, script, kept)
            lines.append(outcome.line())
            broken += bool(outcome.violations)
            counts = "  ".join(f"{name} {count}" for name, count in outcome.counts.items())
            click.echo(
                f"{one.name:16} seed {script.seed:<6} {counts}  faults {sum(outcome.faults.values())}"
                f"  broken rules {len(outcome.violations)}  {time.perf_counter() - began:.1f} s"
            )
            for breach in outcome.violations[:5]:
                click.echo(f"  {breach.line()}")
            if outcome.violations and kept is not None:
                click.echo(f"  kept: {kept / f'{script.scenario}-{script.seed}' / 'script.json'}")
    except KeyboardInterrupt:
        interrupted = True
    if out is not None and lines:
        total = {"kind": "total", "scenario": one.name, "seeds": len(lines), "broken": broken}
        results.write(out, results.encode([*lines, total]))
    if interrupted:
        click.echo(f"interrupted: {len(lines)} of {len(scripts)} seeds were finished", err=True)
    sys.exit(130 if interrupted else 1 if broken else 0)
