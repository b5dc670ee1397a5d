"""Requests and failures of candidate and control over the same time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PairedCounts:
    """Requests and failures of both sides; fractional if older counts have a lower weight."""

    candidate_requests: float = 0.0
    candidate_failures: float = 0.0
    control_requests: float = 0.0
    control_failures: float = 0.0

    def __add__(self, other: PairedCounts) -> PairedCounts:
        return PairedCounts(
            self.candidate_requests + other.candidate_requests,
            self.candidate_failures + other.candidate_failures,
            self.control_requests + other.control_requests,
            self.control_failures + other.control_failures,
        )

    def scaled(self, factor: float) -> PairedCounts:
        """Returns all counts multiplied by the factor."""
        return PairedCounts(
            factor * self.candidate_requests,
            factor * self.candidate_failures,
            factor * self.control_requests,
            factor * self.control_failures,
        )

    @property
    def requests(self) -> float:
        """The sum of both sides' requests."""
        return self.candidate_requests + self.control_requests

    @property
    def candidate_rate(self) -> float:
        """The candidate's failure rate; 0 without requests."""
        return self.candidate_failures / max(1.0, self.candidate_requests)

    @property
    def control_rate(self) -> float:
        """Control's failure rate; 0 without requests."""
        return self.control_failures / max(1.0, self.control_requests)
