"""The hypothesis profile of all tests.

It is deterministic: the same examples in each run, no time limits, and no examples stored between runs.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")
