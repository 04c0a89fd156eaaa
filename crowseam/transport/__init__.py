"""Sockets between the system's own processes and those who call `ctl`."""
