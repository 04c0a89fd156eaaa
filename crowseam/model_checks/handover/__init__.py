"""Model check of the state that a majority keeps outside the log."""
