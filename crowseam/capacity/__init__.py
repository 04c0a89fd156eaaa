"""Cost against size: message costs, measures of the code, scale runs on real processes, and their page."""
