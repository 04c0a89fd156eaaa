"""Model check of keyed operations."""
