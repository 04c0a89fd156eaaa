"""Model check of operators' configuration changes."""
