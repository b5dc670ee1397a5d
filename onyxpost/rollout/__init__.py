"""Routing rules, and the metrics and analysis of their rollout. Imported only by nodes that have rules."""
