"""Connections between the nodes of a cluster: framing, membership, failure detection (`docs/cluster.md`).

A module that is called pure neither does I/O nor reads a clock: its callers pass the time in.
"""
