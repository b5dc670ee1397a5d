"""Runs real processes on loopback, injects faults drawn from a seed, and checks the recorded history."""
