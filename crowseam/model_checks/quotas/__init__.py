"""Model check of quota leases and duties."""
