"""The data plane: what a desk does with a request, from its first byte to its answer."""
