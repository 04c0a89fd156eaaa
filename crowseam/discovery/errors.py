"""Errors of service discovery."""


class DiscoveryError(Exception):
    """A server's report is invalid: `field` names the offending part, `reason` the problem."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class NoMajorityError(Exception):
    """No majority of the voters is reachable, so nothing can be acknowledged."""


class RetirementRaceError(Exception):
    """The same server is being retired and restored concurrently."""
