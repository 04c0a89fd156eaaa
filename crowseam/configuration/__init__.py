"""The configuration: its structs, validation, changes, and the routing table."""
