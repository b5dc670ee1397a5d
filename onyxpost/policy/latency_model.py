"""A model of the latency as a function of the rejection probability, and its fit to observations.

Model (11) and the least-mean-squares fit (section II-C, figure 2) of Qin and Wang, "Feedback Performance
Control for Computer Systems: An LPV Approach".
"""

from __future__ import annotations

from typing import NamedTuple


class Period(NamedTuple):
    """The observations of one control period.

    Attributes:
        ratio: mean latency divided by the latency objective, of the frontend with the largest ratio.
        load: the paper's r, arrivals divided by capacity.
        rejection_probability: the paper's theta during the period.
    """

    ratio: float
    load: float
    rejection_probability: float


class Coefficient(NamedTuple):
    """A coefficient of the model, affine in the load intensity r."""

    constant: float
    slope: float

    def at(self, load: float) -> float:
        """Returns the coefficient's value at a load."""
        return self.constant + self.slope * load


# The paper's a1, a2 and b. Latency is a ratio to its objective here, so b is divided by the paper's target of
# 0.02 s; b's slope is positive because the model subtracts b's term.
PUBLISHED_COEFFICIENTS = [
    Coefficient(0.3464, 0.1313),
    Coefficient(0.2527, 0.1187),
    Coefficient(-0.0007 / 0.02, 0.0443 / 0.02),
]


class LatencyModel:
    """Model (11) of Qin and Wang, "Feedback Performance Control for Computer Systems".

    The next ratio of latency to its objective is a1(r) times this period's, plus a2(r) times the previous
    period's, less b(r) times this period's rejection probability. All three are affine in the load r, and
    each is taken at the load of the period whose value it multiplies.

    Args:
        coefficients: a1, a2 and b.
        learning_rate: of the least-mean-squares fit.
        max_error: bound on the absolute prediction error that the fit uses.
    """

    def __init__(self, coefficients: list[Coefficient], learning_rate: float, max_error: float) -> None:
        self._coefficients = coefficients
        self._learning_rate = learning_rate
        self._max_error = max_error
        self._history: list[Period] = []

    def input_coefficient(self, load: float) -> float:
        """Returns b, the coefficient of the rejection probability, at a load."""
        return self._coefficients[2].at(load)

    def forget(self) -> None:
        """Drops the history; called after a period without observations."""
        self._history = []

    def observe(self, period: Period) -> None:
        """Records a period, and fits the model to it if the two previous rejection probabilities differ.

        The effect of the probability on the latency cannot be observed while the probability is constant.
        """
        if len(self._history) > 1:
            older, last = self._history
            if older.rejection_probability != last.rejection_probability:
                self._fit(older, last, period.ratio)
        self._history = [*self._history[-1:], period]

    def _fit(self, older: Period, last: Period, ratio: float) -> None:
        inputs = [
            (last.ratio, last.load),
            (older.ratio, older.load),
            (-last.rejection_probability, last.load),
        ]
        terms = list(zip(inputs, self._coefficients, strict=True))
        predicted_ratio = sum(value * coefficient.at(load) for (value, load), coefficient in terms)
        error = min(self._max_error, max(-self._max_error, ratio - predicted_ratio))
        rate = self._learning_rate
        self._coefficients = [
            Coefficient(
                coefficient.constant + rate * error * value,
                coefficient.slope + rate * error * value * load,
            )
            for (value, load), coefficient in terms
        ]
