"""Exceptions of the storage package."""


class StoreError(Exception):
    """An I/O error, or data that cannot be read back as it was written."""
