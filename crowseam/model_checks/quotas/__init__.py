"""Model check of quota leases and role leases."""
