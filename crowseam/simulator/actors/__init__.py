"""Servers, clients, operators and the platform, as the system meets them."""
