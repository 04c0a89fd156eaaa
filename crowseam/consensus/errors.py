"""Exceptions of the consensus package."""


class ConsensusError(Exception):
    """Raised for bytes that do not decode to a message, and for two different entries chosen at one slot."""
