"""Model check of controllers that are cut off."""
