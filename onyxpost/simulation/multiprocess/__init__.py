"""Real processes on loopback under faults drawn from a seed; a checker judges the recorded history."""
