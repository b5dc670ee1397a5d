"""Sequential analysis of a rollout (docs/rollouts-analysis.md). Does no I/O; valid at every evaluation."""
