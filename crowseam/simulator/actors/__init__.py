"""The simulated environment of the system: servers, clients, the operator and the platform."""
