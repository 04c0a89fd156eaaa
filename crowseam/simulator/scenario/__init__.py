"""What a day holds: its deployment, its load and its faults."""
