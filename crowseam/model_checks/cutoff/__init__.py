"""Model check of partitioned controllers."""
