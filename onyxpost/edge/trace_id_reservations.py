"""Trace ids of requests that may have been executed although their clients got no answer. No I/O."""

from __future__ import annotations

# How long a trace id stays reserved; longer than the client timeout of any request.
RETENTION_MS = 10_000.0


class TraceIdReservations:
    """Reserves the trace ids of requests that must not be executed again.

    A request with a reserved trace id must not be sent, as its effect could occur twice. All times are in ms
    and must not decrease from call to call.
    """

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}  # by trace id, earliest first

    def reserve(self, trace_id: str, now: float) -> None:
        """Reserves a trace id from `now` on, for `RETENTION_MS`."""
        self._expires_at.pop(trace_id, None)
        self._expires_at[trace_id] = now + RETENTION_MS

    def is_reserved(self, trace_id: str, now: float) -> bool:
        """Returns whether a trace id is reserved; drops all expired reservations."""
        while self._expires_at:
            earliest = next(iter(self._expires_at))
            if now < self._expires_at[earliest]:
                break
            del self._expires_at[earliest]
        return trace_id in self._expires_at
