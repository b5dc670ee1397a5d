"""Request counters that each node keeps for the candidate and control of a rollout, and their aggregation."""
