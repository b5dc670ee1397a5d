"""Model (11) of Qin and Wang and its least-mean-squares fit."""

from __future__ import annotations

import pytest

from onyxpost.policy.latency_model import PUBLISHED_COEFFICIENTS, Coefficient, LatencyModel, Period

RATE = 0.01
MAX_ERROR = 1.0


def fitted(*periods: Period) -> LatencyModel:
    """Returns a model with the published coefficients after it has observed the periods."""
    model = LatencyModel(PUBLISHED_COEFFICIENTS, RATE, MAX_ERROR)
    for period in periods:
        model.observe(period)
    return model


def test_the_input_coefficient_is_affine_in_the_load() -> None:
    assert fitted().input_coefficient(0.8) == pytest.approx((-0.0007 + 0.0443 * 0.8) / 0.02)


def test_a_changed_rejection_probability_fits_the_model() -> None:
    model = fitted(Period(1.2, 0.9, 0.0), Period(1.1, 0.8, 0.1), Period(1.3, 0.7, 0.1))
    predicted = 1.1 * (0.3464 + 0.1313 * 0.8) + 1.2 * (0.2527 + 0.1187 * 0.9) - 0.1 * (-0.035 + 2.215 * 0.8)
    step = RATE * (1.3 - predicted) * -0.1
    expected = Coefficient(-0.035 + step, 2.215 + step * 0.8)
    assert model.input_coefficient(0.6) == pytest.approx(expected.at(0.6))
    assert model.input_coefficient(0.6) != pytest.approx(fitted().input_coefficient(0.6))


def test_while_the_rejection_probability_stays_the_same_nothing_is_fitted() -> None:
    model = fitted(Period(1.2, 0.9, 0.1), Period(1.1, 0.8, 0.1), Period(1.3, 0.7, 0.5))
    assert model.input_coefficient(0.6) == fitted().input_coefficient(0.6)


def test_after_a_period_without_observations_the_fit_waits_for_two_more() -> None:
    model = fitted(Period(1.2, 0.9, 0.0), Period(1.1, 0.8, 0.1))
    model.forget()
    model.observe(Period(1.3, 0.7, 0.2))
    assert model.input_coefficient(0.6) == fitted().input_coefficient(0.6)


def test_a_large_error_is_bounded() -> None:
    periods = (Period(1.0, 0.9, 0.0), Period(1.0, 0.8, 0.1))
    large_error_model = fitted(*periods, Period(50.0, 0.7, 0.1))
    larger_error_model = fitted(*periods, Period(5000.0, 0.7, 0.1))
    assert large_error_model.input_coefficient(0.6) == larger_error_model.input_coefficient(0.6)
