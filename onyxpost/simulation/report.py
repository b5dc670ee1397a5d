"""Compares two result files: a table of figures with their ranges over the seeds, and plots over time."""

from __future__ import annotations

import statistics
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.errors import NoCommonScenarioError
from onyxpost.simulation.results import ResultLine, read

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from matplotlib.axes import Axes

# Keys of the compared figures in the totals of a run, with their meanings.
FIGURES = {
    "passed_value": "share of the weight offered within quotas that succeeded",
    "worst_10s": "the same share in the worst ten seconds",
    "denied_with_room": "share of the tries that were rejected although the quota had their units",
    "beyond_quota": "share of the sent units that were beyond quotas",
    "late": "share of the successes that came after the latency objective",
    "mean_ms": "mean time from the first try of a request to its success, in ms",
    "attempts_per_try": "mean attempts per try",
    "handshakes_per_attempt": "mean new connections per attempt",
    "connections_most": "largest number of connections at one server",
    "messages_per_try": "mean peer messages per try",
    "unheard": "share of the peer messages dropped beyond the capacity of a node",
    "cold_load_most": "largest load of a server during warmup, relative to overload",
    "breaches": "number of violations of invariants",
}


class PlottedShare(NamedTuple):
    """A plotted ratio of two counters of the same second, by the keys of the counters."""

    title: str
    numerator: str
    denominator: str


PLOTTED_SHARES = (
    PlottedShare("successful weight / offered weight", "value_passed", "value_inside"),
    PlottedShare("rejected within quota / tries", "denied_with_room", "tries"),
    PlottedShare("units beyond quotas / sent units", "units_beyond", "units"),
    PlottedShare("late successes / successes", "late", "passed"),
)
COLUMN_INCHES = 4.2
ROW_INCHES = 2.6

RunLines = list[ResultLine]  # result lines of one run
RunsByScenario = dict[str, list[RunLines]]


class Spread(NamedTuple):
    """The range and the mean of a figure over the runs of a scenario."""

    low: float
    mean: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:.4g} ({self.low:.4g} to {self.high:.4g})"


class Comparison(NamedTuple):
    """A figure of one scenario in both result files."""

    scenario: str
    figure: str
    first: Spread
    second: Spread

    @property
    def verdict(self) -> str:
        """The difference of the means, or a text that says that the ranges are equal or overlap."""
        if self.first == self.second:
            return "the same"
        if self.first.low <= self.second.high and self.second.low <= self.first.high:
            return "no difference seen"
        return f"{self.second.mean - self.first.mean:+.4g}"


def read_runs(path: Path) -> RunsByScenario:
    """Reads the runs of a result file; another number of nodes or servers makes a scenario of its own.

    Raises:
        InvalidSimulationInputError: the file cannot be read, or is not a result file.
    """
    runs: RunsByScenario = defaultdict(list)
    current: RunLines = []
    for line in read(path):
        if line["kind"] == "run":
            current = []
            runs[f"{line['scenario']}, {line['nodes']} nodes, {line['servers']} servers"].append(current)
        current.append(line)
    return dict(runs)


def _spread(runs: Sequence[RunLines], figure: str) -> Spread:
    values = [float(line[figure]) for run in runs for line in run if line["kind"] == "total"]
    return Spread(min(values), statistics.fmean(values), max(values))


def compare(first: RunsByScenario, second: RunsByScenario) -> list[Comparison]:
    """Compares all figures of the scenarios that are in both result files.

    Raises:
        NoCommonScenarioError: no scenario is in both files.
    """
    common = [scenario for scenario in first if scenario in second]
    if not common:
        raise NoCommonScenarioError(
            f"no scenario in common: {', '.join(first)} in the first, {', '.join(second)} in the second"
        )
    return [
        Comparison(scenario, figure, _spread(first[scenario], figure), _spread(second[scenario], figure))
        for scenario in common
        for figure in FIGURES
    ]


def format_comparisons(comparisons: Sequence[Comparison], run_counts: tuple[int, int]) -> str:
    """Returns a table as text; `run_counts` holds the number of runs in each file."""
    scenario = ""
    lines = [f"mean (lowest to highest) over {run_counts[0]} and {run_counts[1]} runs"]
    for row in comparisons:
        if row.scenario != scenario:
            scenario = row.scenario
            lines.append(f"\n{scenario}")
        lines.append(f"  {row.figure:24} {row.first!s:>32}  {row.second!s:>32}  {row.verdict}")
    return "\n".join(lines)


def _share_over_time(run: RunLines, share: PlottedShare) -> list[float]:
    """Returns the share for each second; NaN where the denominator is 0."""
    seconds = [line for line in run if line["kind"] == "second"]
    return [
        second.get(share.numerator, 0.0) / second[share.denominator]
        if second.get(share.denominator)
        else float("nan")
        for second in seconds
    ]


def _shares_over_time(runs: Sequence[RunLines], share: PlottedShare) -> list[list[float]]:
    """Returns the shares of all runs; shorter runs are padded with NaN to the length of the longest."""
    shares = [_share_over_time(run, share) for run in runs]
    length = max(len(values) for values in shares)
    return [values + [float("nan")] * (length - len(values)) for values in shares]


def plot(sides: dict[str, RunsByScenario], path: Path) -> None:
    """Writes a PNG with a row for each scenario and a column for each share.

    Each plot shows the mean and the range of each side, whose label is its key in `sides`.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    first_side = next(iter(sides.values()))
    scenarios = [name for name in first_side if all(name in runs for runs in sides.values())]
    figure, axes = pyplot.subplots(
        len(scenarios),
        len(PLOTTED_SHARES),
        figsize=(COLUMN_INCHES * len(PLOTTED_SHARES), ROW_INCHES * len(scenarios)),
        squeeze=False,
        sharex="row",
        layout="constrained",
    )
    for row, scenario in enumerate(scenarios):
        for column, share in enumerate(PLOTTED_SHARES):
            axis = axes[row][column]
            for label, runs in sides.items():
                _plot_spread(axis, label, _shares_over_time(runs[scenario], share))
            axis.set_ylim(bottom=0.0)
            axis.grid(alpha=0.3)
        axes[row][0].set_ylabel(scenario.replace(", ", "\n"), fontsize=9)
    for column, share in enumerate(PLOTTED_SHARES):
        axes[0][column].set_title(share.title, fontsize=10)
        axes[-1][column].set_xlabel("s")
    axes[0][0].legend(fontsize=8, loc="lower left")
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _plot_spread(axis: Axes, label: str, shares: list[list[float]]) -> None:
    """Plots the mean over the runs, and the range from the lowest to the highest run, over time."""
    import numpy

    table = numpy.ma.masked_invalid(numpy.array(shares))
    (line,) = axis.plot(range(table.shape[1]), table.mean(axis=0), label=label)
    low = table.min(axis=0)
    high = table.max(axis=0)
    axis.fill_between(range(table.shape[1]), low, high, alpha=0.2, color=line.get_color(), linewidth=0)
