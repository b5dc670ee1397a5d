"""Planners, which grant forwarders time-limited leases of quota units of customers."""
