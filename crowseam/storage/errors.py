"""The errors of this layer."""


class StoreError(Exception):
    """The disk refused, or what was read from it is not what was written."""
