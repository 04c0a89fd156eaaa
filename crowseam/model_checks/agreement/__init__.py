"""Model check of the consensus on the configuration."""
