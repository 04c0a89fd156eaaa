"""The data plane: what a gateway does with a request, from its first byte to its answer."""
