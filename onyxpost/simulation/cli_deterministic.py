"""The command `simulate deterministic`: runs edge nodes on a virtual clock, with faults drawn from seeds."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import click

from onyxpost.simulation import results
from onyxpost.simulation.cli_errors import report_operator_errors
from onyxpost.simulation.cli_options import SEEDS_HELP, jobs_option, pass_options, seeds_out_option
from onyxpost.simulation.cli_output import InterruptCatcher, ViolationLine, echo_violations, exit_code
from onyxpost.simulation.deprecation import warn_deprecated
from onyxpost.simulation.errors import InvalidOptionError

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.deterministic import Outcome
    from onyxpost.simulation.invariants import Violation

MAX_PRINTED_SEEDS = 5
MAX_PRINTED_VIOLATIONS = 3  # for each failed seed


class DeterministicOptions(NamedTuple):
    """The parsed arguments of the command."""

    seeds: str
    jobs: int
    mutation: str
    out: Path | None


class FinishedSeeds:
    """The outcomes of the finished seeds, and totals over them."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []

    def add(self, outcome: Outcome) -> None:
        """Adds the outcome of one seed."""
        self.outcomes.append(outcome)

    def failed(self) -> list[Outcome]:
        """Returns the outcomes in which an invariant was violated."""
        return [outcome for outcome in self.outcomes if outcome.failed]

    def summary(self) -> str:
        """Returns the totals over the finished seeds in one line of text."""
        requests = sum(outcome.requests for outcome in self.outcomes)
        passed = sum(outcome.succeeded for outcome in self.outcomes)
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
    """Run edge nodes on a virtual clock, with faults drawn from seeds.

    A failing seed is shrunk to the faults that are needed for the violation. Equal seeds give equal runs.
    Exit 0: no invariant violated. Exit 1: an invariant was violated. Exit 2: invalid input. Exit 130:
    interrupted; the results of finished seeds are kept.
    """
    from onyxpost.simulation import deterministic as simulation
    from onyxpost.simulation.seed_ranges import parse_seeds

    _check_mutation(options.mutation)
    seeds = parse_seeds(options.seeds)
    started_at = time.perf_counter()
    finished = FinishedSeeds()
    with InterruptCatcher() as interrupt:
        for outcome in simulation.run_seeds(seeds, options.jobs, options.mutation):
            finished.add(outcome)
    if options.out is not None and finished.outcomes:
        results.write(options.out, results.encode(outcome.to_record() for outcome in finished.outcomes))
    failed = finished.failed()
    for outcome in failed[:MAX_PRINTED_SEEDS]:
        _echo_failed_seed(outcome, options.mutation)
    seconds = time.perf_counter() - started_at
    click.echo(f"{finished.summary()}; {seconds:.1f} s on {options.jobs} processes")
    sys.exit(exit_code(violated=bool(failed), was_interrupted=interrupt.was_interrupted))


def _check_mutation(name: str) -> None:
    """Raises InvalidOptionError unless the name is that of a mutation or empty."""
    from onyxpost.simulation.mutations import MUTATIONS, current_name, is_mutation

    if not is_mutation(name):
        names = ", ".join(MUTATIONS)
        raise InvalidOptionError(f"no mutation {name!r}; there are: {names}", "--mutation")
    if current_name(name) != name:
        warn_deprecated(name, current_name(name))


def _echo_failed_seed(outcome: Outcome, mutation: str) -> None:
    """Shrinks a failed seed; prints the faults that still violate an invariant, and the first violations."""
    from onyxpost.simulation.deterministic import shrink

    smallest = shrink(outcome, mutation)
    click.echo(f"seed {outcome.seed}: {len(outcome.faults)} faults, {len(smallest.faults)} needed to fail")
    for fault in smallest.faults:
        click.echo(
            f"  at {fault.at_seconds:.4f} s  {fault.kind} {fault.target} for {fault.duration_seconds} s"
            f" ({fault.magnitude})"
        )
    echo_violations(map(_violation_line, smallest.violations), MAX_PRINTED_VIOLATIONS)


def _violation_line(violation: Violation) -> ViolationLine:
    return ViolationLine(
        invariant=violation.invariant,
        at_ms=violation.at_ms,
        node=violation.node,
        request=violation.request_id,
        server=violation.server,
        description=violation.description,
    )
