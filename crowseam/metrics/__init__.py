"""What a daemon counts, and how it is told to Prometheus. Libraries are loaded when they are needed."""
