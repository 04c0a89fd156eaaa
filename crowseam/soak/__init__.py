"""Soak test: runs a fleet of real processes on loopback under overlapping faults and checks the recorded history."""
