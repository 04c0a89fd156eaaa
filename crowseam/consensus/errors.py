"""The errors of this layer."""


class ConsensusError(Exception):
    """Bytes that are no message of this layer, or a contradiction between two chosen entries."""
