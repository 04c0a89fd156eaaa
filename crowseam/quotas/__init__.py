"""Limits shared by many gateways: tenant quotas leased in shares, admission control, and the retry budget."""
