"""Keyed operations: requests with one key run once over the whole fleet, and a repeat gets the first one's answer.

Decisions only: messages and the time come in, what is to be sent or written goes out.
"""
