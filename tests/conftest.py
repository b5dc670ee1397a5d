"""The hypothesis profile and the event loops of all tests.

The profile is deterministic: the same examples in each run, no time limits, and no examples stored between
runs. The event loops leave no open connection behind.
"""

import asyncio

from hypothesis import HealthCheck, settings

from tests.closing_event_loop import ClosingEventLoopPolicy

settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")

asyncio.set_event_loop_policy(ClosingEventLoopPolicy())
