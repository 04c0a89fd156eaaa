"""Model check of catching up with the log."""
