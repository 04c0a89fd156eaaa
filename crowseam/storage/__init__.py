"""Durable storage of a controller in one SQLite database.

`store.Store` is the entry point.
"""
