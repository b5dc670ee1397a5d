"""Sequential analysis of a rollout (docs/rollouts-analysis.md). No I/O; valid at every evaluation."""
