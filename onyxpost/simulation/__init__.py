"""Simulations of the gateway under faults and load. The serving path never imports this package."""
