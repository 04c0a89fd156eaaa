"""crowseam: an API gateway for a fleet of servers, with data plane and control plane in one program."""
