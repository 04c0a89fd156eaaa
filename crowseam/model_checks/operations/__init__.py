"""The model check of keyed operations."""
