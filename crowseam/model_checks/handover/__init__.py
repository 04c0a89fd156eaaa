"""Model check of what a newcomer among the voters has to learn."""
