"""Metrics of the daemons, in the text format of Prometheus. Libraries are loaded when they are needed."""
