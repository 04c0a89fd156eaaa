"""crowseam: an API gateway for a fleet, data plane and control plane, as one program."""
