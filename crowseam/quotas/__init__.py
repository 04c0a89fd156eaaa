"""Quota slices on lease and the retry budget: what many machines may use together."""
