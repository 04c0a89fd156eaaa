"""Model check of changes of voters."""
