"""Connections between the processes of the system, and the HTTP server for control calls (`ctl`)."""
