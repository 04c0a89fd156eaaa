"""Capacity planning: message costs, code measurements, scale runs with real processes, and tables of results."""
