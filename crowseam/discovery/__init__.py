"""Service discovery: a mergeable registry of servers, its anti-entropy, and acknowledgements by a majority.

Nothing here reads a clock or does input or output: times are seconds of a monotonic clock and are passed as
parameters.
"""
