"""Simulated environment of the system: backend servers, clients, the operator and the platform."""
