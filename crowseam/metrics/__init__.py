"""What a daemon counts, and how Prometheus scrapes it. Libraries are loaded when they are needed."""
