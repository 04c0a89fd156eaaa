"""The controller process: consensus on the configuration, service discovery, membership and quota leases.

`daemon.Controller` is the entry point; `parts` creates and connects the components.
"""
