"""Limits the rate of log lines that any remote host can cause. No I/O."""

from __future__ import annotations

DEFAULT_INTERVAL_MS = 10_000.0


class LogRateLimiter:
    """Allows one line of each kind per interval, and counts the suppressed ones.

    Kinds must be from a small fixed set, as each takes up memory, and must not be names that a remote host
    chooses.
    """

    def __init__(self, interval_ms: float = DEFAULT_INTERVAL_MS) -> None:
        self.interval_ms = interval_ms
        self.last_allowed_at_ms: dict[str, float] = {}
        self.suppressed: dict[str, int] = {}

    def allow(self, now_ms: float, kind: str) -> int:
        """Returns how many events the line stands for; 0 if it must be suppressed.

        The events are its own and the lines of its kind suppressed since the last one that was allowed.
        """
        if now_ms - self.last_allowed_at_ms.get(kind, -self.interval_ms) < self.interval_ms:
            self.suppressed[kind] = self.suppressed.get(kind, 0) + 1
            return 0
        self.last_allowed_at_ms[kind] = now_ms
        return self.suppressed.pop(kind, 0) + 1
