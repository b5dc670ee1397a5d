"""`onyxpost simulate processes`: runs the seeds of a scenario one after another, with real processes."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import report_operator_errors
from onyxpost.simulation.cli_output import InterruptCatcher, exit_code

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.fault_script import FaultScript
    from onyxpost.simulation.multiprocess.run_result import RunResult
    from onyxpost.simulation.multiprocess.scenario import Scenario

PRINTED_VIOLATIONS = 5
FILE = click.Path(dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)


@click.command()
@click.argument("scenario", required=False)
@click.option("--nodes", type=int, help="Number of nodes instead of the scenario's; 1 to 64.")
@click.option("--seeds", default="1", show_default=True, help="Seeds, as in 1-20 or 1,4,9-12.")
@click.option("--seconds", type=float, help="Duration instead of the scenario's; up to 600.")
@click.option("--out", type=FILE, help="File for the results: JSON lines, one for each seed.")
@click.option("--kept", type=FOLDER, help="Folder in which failed runs are kept.")
@click.option("--replay", type=FILE, help="Run a kept script.json again.")
@click.option("--mutation", default="", help="Inject a known bug, which the invariants must find.")
@report_operator_errors
def processes(out: Path | None, kept: Path | None, **options: object) -> None:
    """Run SCENARIO (a TOML file, or the name of a shipped one) with real processes on loopback.

    Exit 0: no invariant was violated. Exit 1: an invariant was violated. Exit 2: an argument, option or file
    is invalid, or a process did not start. Exit 130: interrupted; the results of finished seeds are written,
    and no process is left.
    """
    # Imported only here, because these modules import the whole node.
    from onyxpost.simulation.multiprocess.batch import BatchOptions, create_batch

    batch = create_batch(BatchOptions(**options))  # type: ignore[arg-type]
    finished: list[RunResult] = []
    with InterruptCatcher() as interrupt:
        for script in batch.scripts:
            finished.append(_run(batch.scenario, script, kept))  # noqa: PERF401 - an interrupt keeps earlier results
    violated = sum(bool(result.violations) for result in finished)
    if out is not None and finished:
        total = {
            "kind": "total",
            "scenario": batch.scenario.name,
            "seeds": len(finished),
            "broken": violated,
        }
        lines = [result.to_result_line() for result in finished]
        results.write(out, results.encode([*lines, total]))
    if interrupt.was_interrupted:
        click.echo(f"interrupted: {len(finished)} of {len(batch.scripts)} seeds were finished", err=True)
    sys.exit(exit_code(violated=violated > 0, was_interrupted=interrupt.was_interrupted))


def _run(scenario: Scenario, script: FaultScript, kept: Path | None) -> RunResult:
    """Runs one script, and prints its figures and first violations."""
    from onyxpost.simulation.multiprocess.runner import kept_folder, run_script

    started_seconds = time.perf_counter()
    result = run_script(scenario, script, kept)
    counts = "  ".join(f"{name} {count}" for name, count in result.counts.items())
    click.echo(
        f"{scenario.name:16} seed {script.seed:<6} {counts}  faults {sum(result.faults.values())}"
        f"  violations {len(result.violations)}  {time.perf_counter() - started_seconds:.1f} s"
    )
    for violation in result.violations[:PRINTED_VIOLATIONS]:
        click.echo(f"  {violation.to_line()}")
    if result.violations and kept is not None:
        click.echo(f"  kept: {kept_folder(kept, script) / 'script.json'}")
    return result
