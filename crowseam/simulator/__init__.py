"""Discrete-event simulator: runs the real daemons against simulated clients, servers, disks, links and clocks."""
