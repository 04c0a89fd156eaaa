"""The data plane: how a gateway handles a request, from its first byte to its answer."""
