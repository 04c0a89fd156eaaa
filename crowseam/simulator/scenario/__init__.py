"""Scenarios of the simulator, called days: a deployment, its load and its faults."""
