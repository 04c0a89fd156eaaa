"""Model check of who is answered."""
