"""Model check of the agreement on the configuration."""
