"""The control role: sockets, clock and disk round agreement, reports, membership and leases."""
