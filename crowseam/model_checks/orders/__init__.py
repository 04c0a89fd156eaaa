"""Model check of the orders of operators."""
