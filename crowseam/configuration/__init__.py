"""The configuration: its structs, its checks, its changes, and the table by which requests are routed."""
