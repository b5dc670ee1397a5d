"""Compatibility tests: wire formats, file formats and simulation results equal those of an earlier build."""
