"""Keyed (idempotent) operations: a request with a given key runs once in the fleet; retries get the stored answer.

The package does no I/O and reads no clock: callers pass messages and the time, and get back what to send and write.
"""
