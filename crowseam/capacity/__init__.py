"""Cost against size: the scale run, its hollow peers, and the page of the size to come."""
