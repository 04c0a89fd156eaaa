"""Membership: live processes, failure detection, and leases of singleton roles."""
