"""What was asked of a gateway, counted for the line that it logs each span and that a replay reads."""

ASKED = "asked"
SPAN = 5.0  # s that one line covers


class RequestCounters:
    """Counts what is asked, for the line that a gateway logs each span."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.counts: dict[tuple[str, str], int] = {}

    def add(self, route: str, tenant: str) -> None:
        """Count one request of this route and tenant."""
        key = (route, tenant)
        self.counts[key] = self.counts.get(key, 0) + 1

    def take(self) -> str:
        """The counts as they stand in the log, which begin anew; empty if nothing was asked."""
        told = ",".join(f"{route}/{tenant}:{count}" for (route, tenant), count in sorted(self.counts.items()))
        self.counts.clear()
        return told
