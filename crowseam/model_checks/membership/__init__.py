"""Model check of reconfiguration, the change of voters."""
