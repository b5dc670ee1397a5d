"""The command `simulate deterministic`: seeds of scripted faults on whole edge nodes, on a virtual clock."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import report_operator_errors
from onyxpost.simulation.cli_options import SEEDS_HELP, jobs_option, pass_options, seeds_out_option
from onyxpost.simulation.cli_output import InterruptCatcher, ViolationLine, echo_violations, exit_code
from onyxpost.simulation.errors import InvalidOptionError

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.deterministic import Outcome
    from onyxpost.simulation.invariants import Violation

MAX_PRINTED_SEEDS = 5
MAX_PRINTED_VIOLATIONS = 3  # of one seed


class DeterministicOptions(NamedTuple):
    """The arguments of the command, as they were given."""

    seeds: str
    jobs: int
    mutation: str
    out: Path | None


class FinishedSeeds:
    """The outcomes of all seeds that are finished, and sums over them."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []

    def add(self, outcome: Outcome) -> None:
        """Adds the outcome of one seed."""
        self.outcomes.append(outcome)

    def failed(self) -> list[Outcome]:
        """Returns the outcomes in which an invariant was violated."""
        return [outcome for outcome in self.outcomes if outcome.failed]

    def summary(self) -> str:
        """Returns the sums over all seeds in one line."""
        requests = sum(outcome.asked for outcome in self.outcomes)
        passed = sum(outcome.passed for outcome in self.outcomes)
        steps = sum(outcome.steps for outcome in self.outcomes)
        return (
            f"{len(self.outcomes)} seeds, {len(self.failed())} failed; {requests} requests, {passed} passed;"
            f" {steps} steps checked"
        )


@click.command()
@click.option("--seeds", default="1-200", show_default=True, help=SEEDS_HELP)
@jobs_option
@click.option("--mutation", default="", help="Inject a known bug: it must be found.")
@seeds_out_option
@report_operator_errors
@pass_options(DeterministicOptions)
def deterministic(options: DeterministicOptions) -> None:
    """Run faults scripted from seeds on whole edge nodes under a virtual clock.

    A failing seed is shrunk to the faults that it takes; run again it does the same. Exit 0: no invariant
    violated. Exit 1: one was violated. Exit 2: something given cannot be used. Exit 130: interrupted; what
    was finished is kept.
    """
    from onyxpost.simulation import deterministic as simulation
    from onyxpost.simulation.seed_ranges import parse_seeds

    _check_mutation(options.mutation)
    seeds = parse_seeds(options.seeds)
    began = time.perf_counter()
    finished = FinishedSeeds()
    with InterruptCatcher() as interrupt:
        for outcome in simulation.many(seeds, options.jobs, options.mutation):
            finished.add(outcome)
    if options.out is not None and finished.outcomes:
        results.write(options.out, results.encode(map(simulation.line, finished.outcomes)))
    failed = finished.failed()
    for outcome in failed[:MAX_PRINTED_SEEDS]:
        _echo_failed_seed(outcome, options.mutation)
    seconds = time.perf_counter() - began
    click.echo(f"{finished.summary()}; {seconds:.1f} s on {options.jobs} processes")
    sys.exit(exit_code(violated=bool(failed), was_interrupted=interrupt.was_interrupted))


def _check_mutation(name: str) -> None:
    """Raises InvalidOptionError unless there is a mutation of this name, or none is asked for."""
    from onyxpost.simulation.mutations import PLANTS

    if name not in PLANTS:
        names = ", ".join(filter(None, PLANTS))
        raise InvalidOptionError(f"no mutation {name!r}; there are: {names}", "--mutation")


def _echo_failed_seed(outcome: Outcome, mutation: str) -> None:
    """Prints the faults that a failed seed takes, and its first violations with only these."""
    from onyxpost.simulation.deterministic import shrunk

    smallest = shrunk(outcome, mutation)
    click.echo(f"seed {outcome.seed}: {len(outcome.faults)} faults, {len(smallest.faults)} of them needed")
    for fault in smallest.faults:
        click.echo(f"  at {fault.at:.4f} s  {fault.kind} {fault.whom} for {fault.lasts} s ({fault.more})")
    echo_violations(map(_violation_line, smallest.violations), MAX_PRINTED_VIOLATIONS)


def _violation_line(violation: Violation) -> ViolationLine:
    return ViolationLine(
        invariant=violation.rule,
        at_ms=violation.at,
        node=violation.node,
        request=violation.req,
        server=violation.server,
        description=violation.what,
    )
