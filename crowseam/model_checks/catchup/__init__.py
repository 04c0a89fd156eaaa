"""Model check of log catch-up and snapshot transfer."""
