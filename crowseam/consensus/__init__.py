"""Consensus on versions of the configuration: a replicated log whose slots are each decided by single-decree Paxos.

`node.Node` is the entry point. The package reads no clock and does no I/O: callers pass the time as seconds of a
monotonic clock, and messages to send and records to write are returned as effects.
"""
