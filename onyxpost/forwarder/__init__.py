"""Planner client of a forwarder: requests, caches and returns leases of quota units.

The policy decides every client request from the leases at hand; no client request waits for a planner.
"""
